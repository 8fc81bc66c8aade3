package appleridge.testbed.simulation;

import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SimSocket;
import java.io.IOException;

/**
 * The connection of one misbehaving client. It plays its script, then waits for the error response
 * or the close that the sidecar has to send.
 */
final class BadClient implements SimSocket.Events {
    private static final long RESPONSE_DEADLINE = 3 * Site.SECOND;
    private static final long LARGE_BODY_RESPONSE_DEADLINE = 6 * Site.SECOND;
    private static final long CLOSE_DELAY = 7 * Site.SECOND;
    private static final int READ_SIZE = 1 << 16;

    private final Day day;
    private final Host host;
    private final ProcessSlot slot;
    private final BadClientKind kind;
    private final String name;
    private final Script script;
    private final Runnable onEnded;
    private final HttpReader reader = new HttpReader(true);
    private SimSocket socket;
    private ScriptWriter writer;
    private boolean ended;

    /**
     * @param onEnded runs once when the sidecar has rejected the client
     */
    BadClient(
            Day day,
            Host host,
            ProcessSlot slot,
            BadClientKind kind,
            String name,
            Script script,
            Runnable onEnded) {
        this.day = day;
        this.host = host;
        this.slot = slot;
        this.kind = kind;
        this.name = name;
        this.script = script;
        this.onEnded = onEnded;
    }

    void connect() {
        try {
            socket = host.connect(slot.address(), this);
            // A client that never reads stays until the sidecar closes the connection.
            if (kind != BadClientKind.NEVER_READS) {
                day.after(CLOSE_DELAY, this::leave);
            }
        } catch (IOException e) {
            // The host of the bad clients has no descriptors left; no invariant depends on that.
            ended = true;
        }
    }

    @Override
    public void connected() {
        if (expectsResponse()) {
            boolean large = kind == BadClientKind.BIG_BODY || kind == BadClientKind.BIG_CHUNKS;
            day.evidence.badClientConnected(
                    name, day.now() + (large ? LARGE_BODY_RESPONSE_DEADLINE : RESPONSE_DEADLINE));
        }
        writer = new ScriptWriter(day.simulation, socket);
        writer.start(script, () -> {});
    }

    /** False for a client that closes the connection itself or never reads: it sees no response. */
    private boolean expectsResponse() {
        return switch (kind) {
            case HALF_CLOSE, HALF_RESET, NEVER_READS -> false;
            default -> true;
        };
    }

    @Override
    public void failed(IOException why) {
        ended = true;
    }

    @Override
    public void writable() {
        if (writer != null) {
            writer.writable();
        }
    }

    @Override
    public void readable() {
        if (kind == BadClientKind.NEVER_READS) {
            return;
        }
        try {
            while (socket.isOpen() && socket.isReadable()) {
                int read = reader.read(socket, READ_SIZE);
                if (read < 0) {
                    reportEnd(0);
                    close();
                }
                if (read <= 0) {
                    return;
                }
                readResponses();
            }
        } catch (IOException e) {
            reportEnd(0);
            close();
        }
    }

    private void readResponses() {
        while (reader.advance()) {
            int status = reader.isBroken() ? 0 : reader.status();
            if (status == 0 || status >= 200) {
                reportEnd(status);
            }
            if (reader.isBroken()) {
                close();
                return;
            }
            reader.next();
        }
    }

    /** Reports the first response or close only; a 200 is reported whenever it arrives. */
    private void reportEnd(int status) {
        if (expectsResponse() && (!ended || status == 200)) {
            day.evidence.badClientEnded(name, status);
        }
        if (!ended) {
            ended = true;
            onEnded.run();
        }
    }

    /**
     * Closes the connection long after the response was due. A sidecar that had an excuse until now
     * need not respond any more, so the client is reported as ended.
     */
    private void leave() {
        if (writer != null && !ended && expectsResponse()) {
            ended = true;
            day.evidence.badClientEnded(name, 0);
        }
        close();
    }

    private void close() {
        if (writer != null) {
            writer.stop();
        }
        socket.close();
    }
}
