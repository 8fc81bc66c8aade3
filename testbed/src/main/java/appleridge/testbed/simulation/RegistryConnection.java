package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.util.function.Consumer;

/** Discovery's end of a connection from a sidecar, which handles one call at a time. */
final class RegistryConnection implements SimSocket.Events {
    private static final String LIST = "/registry/instances";
    private static final int READ_BYTES = 1 << 16;
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final Day day;
    private final Registry registry;
    private final SimSocket socket;
    private final HttpReader reader = new HttpReader(false);
    private final ScriptWriter writer;
    private Registry.Call openCall;

    /**
     * Whether the sidecar closed it, and so read or deliberately dropped what was written to it.
     */
    private boolean closedBySidecar;

    RegistryConnection(Day day, Registry registry, SimSocket socket) {
        this.day = day;
        this.registry = registry;
        this.socket = socket;
        this.writer = new ScriptWriter(day.simulation, socket);
        socket.events(this);
    }

    String sidecar() {
        return socket.peerHost().name();
    }

    /** Whether bytes written now can reach the sidecar. */
    boolean canReachSidecar() {
        return !socket.host().isIsolated()
                && !day.network.conditions(socket.host(), socket.peerHost()).blackHole;
    }

    void setOpenCall(Registry.Call call) {
        openCall = call;
    }

    /** Whether this call still waits for its response on this connection. */
    boolean isOpen(Registry.Call call) {
        return openCall == call && socket.isOpen();
    }

    @Override
    public void readable() {
        try {
            while (socket.isOpen() && socket.isReadable()) {
                int read = reader.read(socket, READ_BYTES);
                if (read < 0) {
                    closedBySidecar = true;
                    close();
                }
                if (read <= 0) {
                    return;
                }
                proceed();
            }
        } catch (IOException e) {
            // The connection may also have broken on the network, or when this machine came back
            // after an outage: neither means that the sidecar closed it.
            closedBySidecar = socket.peer() != null && !socket.peer().isOpen();
            close();
        }
    }

    /** Bytes written so far. */
    long bytesWritten() {
        return socket.bytesWritten();
    }

    /** Whether the sidecar's process has read this many bytes, or closed the connection. */
    boolean wasRead(long bytes) {
        return closedBySidecar || socket.peer() != null && socket.peer().bytesRead() >= bytes;
    }

    /**
     * Whether the sidecar can no longer read this many bytes and did not close the connection: it
     * broke before the bytes arrived at its machine, or before its process read them.
     */
    boolean isLost(long bytes) {
        SimSocket peer = socket.peer();
        return !closedBySidecar && (peer == null || peer.bytesRead() + peer.available() < bytes);
    }

    @Override
    public void writable() {
        writer.writable();
    }

    private void proceed() {
        if (openCall != null || !writer.isDone() || !reader.advance()) {
            return;
        }
        if (reader.isBroken() || !reader.word(0).equals("GET")) {
            close();
            return;
        }
        String uri = reader.word(1);
        reader.next();
        int query = uri.indexOf('?');
        if (!(query < 0 ? uri : uri.substring(0, query)).equals(LIST)) {
            writer.start(Script.of(ServerResponses.plain("404 Not Found", "", "")), () -> {});
            return;
        }
        long since = query < 0 ? -1 : queryNumber(uri, "since=", -1);
        long wait = query < 0 ? 0 : Math.min(MAX_WAIT_MILLIS, queryNumber(uri, "timeout_ms=", 0));
        registry.called(this, since, since < 0 ? 0 : wait * Site.MS);
    }

    private static long queryNumber(String uri, String name, long defaultValue) {
        int at = uri.indexOf(name);
        if (at < 0) {
            return defaultValue;
        }
        int from = at + name.length();
        int end = from;
        while (end < uri.length() && Character.isDigit(uri.charAt(end))) {
            end++;
        }
        return end == from || end - from > 15
                ? defaultValue
                : Long.parseLong(uri.substring(from, end));
    }

    /** Writes the response to a call; calls back when its last byte is in the socket's buffer. */
    void send(Registry.Call call, Script answer, Runnable whenWritten) {
        if (!isOpen(call)) {
            return;
        }
        writer.start(
                answer,
                () -> {
                    openCall = null;
                    whenWritten.run();
                    if (!socket.isOpen()) {
                        registry.closed(this);
                    } else if (reader.hasPartialMessage()) {
                        proceed();
                    }
                });
    }

    /** Resets the connection; calls back with the open call, if any. */
    void abort(Consumer<Registry.Call> failed) {
        Registry.Call call = openCall;
        openCall = null;
        writer.stop();
        socket.reset();
        if (call != null) {
            failed.accept(call);
        }
    }

    private void close() {
        openCall = null;
        writer.stop();
        socket.close();
        registry.closed(this);
    }
}
