package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;
import java.util.function.Consumer;

/** A sidecar's connection to discovery: one call at a time. */
final class RegistryConnection implements SimSocket.Events {
    private static final String LIST = "/registry/instances";
    private static final int BULK = 1 << 16;
    private static final long LONGEST_WAIT_MILLIS = 60_000;

    private final Day day;
    private final Registry registry;
    private final SimSocket socket;
    private final HttpReader reader = new HttpReader(false);
    private final Player player;
    private Registry.Call open;

    /** The sidecar ended it, and had what was written to it or gave that up by itself. */
    private boolean left;

    RegistryConnection(Day day, Registry registry, SimSocket socket) {
        this.day = day;
        this.registry = registry;
        this.socket = socket;
        this.player = new Player(day.simulation, socket);
        socket.events(this);
    }

    String sidecar() {
        return socket.peerHost().name();
    }

    /** Whether what is written here now can reach the sidecar: else nothing is told by it. */
    boolean isHeard() {
        return !socket.host().isVanished()
                && !day.network.conditions(socket.host(), socket.peerHost()).blackHole;
    }

    void calls(Registry.Call call) {
        open = call;
    }

    /** Whether this call still waits for its answer here. */
    boolean owes(Registry.Call call) {
        return open == call && socket.isOpen();
    }

    @Override
    public void readable() {
        try {
            while (socket.isOpen() && socket.isReadable()) {
                int read = reader.read(socket, BULK);
                if (read < 0) {
                    left = true;
                    close();
                }
                if (read <= 0) {
                    return;
                }
                proceed();
            }
        } catch (IOException e) {
            // Danger: what breaks here may have broken on the way, or as this machine came back.
            left = socket.peer() != null && !socket.peer().isOpen();
            close();
        }
    }

    /** Bytes written so far. */
    long written() {
        return socket.bytesWritten();
    }

    /** Whether the sidecar's process has read so many bytes, or gave them up by itself. */
    boolean wasRead(long bytes) {
        return left || socket.peer() != null && socket.peer().bytesRead() >= bytes;
    }

    /**
     * Whether it can't read so many any more, by no choice of its own: the connection broke before
     * they came to its machine, or before it looked at what had come.
     */
    boolean isLost(long bytes) {
        SimSocket peer = socket.peer();
        return !left && (peer == null || peer.bytesRead() + peer.available() < bytes);
    }

    @Override
    public void writable() {
        player.writable();
    }

    private void proceed() {
        if (open != null || !player.isDone() || !reader.advance()) {
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
            player.play(Script.of(Answers.plain("404 Not Found", "", "")), () -> {});
            return;
        }
        long since = query < 0 ? -1 : number(uri, "since=", -1);
        long wait = query < 0 ? 0 : Math.min(LONGEST_WAIT_MILLIS, number(uri, "timeout_ms=", 0));
        registry.called(this, since, since < 0 ? 0 : wait * Site.MS);
    }

    private static long number(String uri, String name, long absent) {
        int at = uri.indexOf(name);
        if (at < 0) {
            return absent;
        }
        int from = at + name.length();
        int end = from;
        while (end < uri.length() && Character.isDigit(uri.charAt(end))) {
            end++;
        }
        return end == from || end - from > 15 ? absent : Long.parseLong(uri.substring(from, end));
    }

    /**
     * Answers this call; what is given is told when the answer's last byte is in the socket's
     * buffer.
     */
    void say(Registry.Call call, Script answer, Runnable whenWritten) {
        if (!owes(call)) {
            return;
        }
        player.play(
                answer,
                () -> {
                    open = null;
                    whenWritten.run();
                    if (!socket.isOpen()) {
                        registry.closed(this);
                    } else if (reader.begun()) {
                        proceed();
                    }
                });
    }

    /** Ends with its process, or as the old address does; a call that is open fails. */
    void abort(Consumer<Registry.Call> failed) {
        Registry.Call call = open;
        open = null;
        player.stop();
        socket.reset();
        if (call != null) {
            failed.accept(call);
        }
    }

    private void close() {
        open = null;
        player.stop();
        socket.close();
        registry.closed(this);
    }
}
