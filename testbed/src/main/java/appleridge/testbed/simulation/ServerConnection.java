package appleridge.testbed.simulation;

import appleridge.testbed.invariants.Message;
import appleridge.testbed.simnet.NetworkConditions;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;

/**
 * An order server's end of a connection from a sidecar. Reads and answers one request at a time,
 * and closes the connection when it has been idle for long.
 */
final class ServerConnection implements SimSocket.Events {
    private static final int READ_BYTES = 1 << 16;

    /** A message of at most this many bytes fits into one segment. */
    private static final int SEGMENT_BYTES = 1400;

    /** Where a repeated response is cut: within its status line. */
    private static final int CUT_AT_BYTES = 12;

    /**
     * A complete request.
     *
     * @param id its request id; empty without one
     * @param deadline its X-Deadline in nanoseconds; 0 if absent or unreadable
     * @param dueAt time at which the deadline passes; Long.MAX_VALUE without one
     * @param first whether it is the first on its connection
     */
    record Received(
            String id,
            Message message,
            long firstByteSentAt,
            long lastByteSentAt,
            long deadline,
            long dueAt,
            boolean first) {}

    private final Day day;
    private final OrderServer server;
    private final SimSocket socket;
    private final boolean surplus;
    private final HttpReader reader = new HttpReader(false);
    private final ScriptWriter writer;
    private Simulation.Event idleTimeout;
    private long firstByteSentAt;
    private boolean idReported;
    private boolean answeredEarly;
    private boolean earlyProcessed;
    private boolean busy;
    private boolean first = true;
    private boolean stopped;

    /** The last response, if it may be repeated; otherwise null. */
    private String repeatable;

    ServerConnection(Day day, OrderServer server, SimSocket socket, boolean surplus) {
        this.day = day;
        this.server = server;
        this.socket = socket;
        this.surplus = surplus;
        this.writer = new ScriptWriter(day.simulation, socket);
        socket.events(this);
        startIdleTimeout();
    }

    /** The name of the sidecar at the other end. */
    String sidecar() {
        return socket.peerHost().name();
    }

    /** Whether the server was at its connection limit when it accepted this connection. */
    boolean isSurplus() {
        return surplus;
    }

    boolean isOpen() {
        return !stopped && socket.isOpen();
    }

    /** Whether a request is being processed or its response is not yet written. */
    boolean isBusy() {
        return busy || !writer.isDone();
    }

    /** Stops reading and writing without closing the socket. */
    void stop() {
        stopped = true;
        writer.stop();
        cancelIdleTimeout();
    }

    /** Closes this connection if it is idle; returns whether it was. */
    boolean closeIfIdle() {
        boolean idle = !isBusy() && !reader.hasPartialMessage();
        if (idle) {
            close();
        }
        return idle;
    }

    SimSocket sidecarsEnd() {
        return socket.peer();
    }

    private void close() {
        stop();
        socket.close();
        server.closed(this);
    }

    @Override
    public void readable() {
        try {
            while (isOpen() && socket.isReadable()) {

                // Reads the first byte of a request alone, to learn when it was sent.
                boolean newRequest = !reader.hasPartialMessage();
                int read = reader.read(socket, newRequest ? 1 : READ_BYTES);
                if (read <= 0) {
                    if (read < 0) {
                        close();
                    }
                    return;
                }
                if (newRequest) {
                    firstByteSentAt = socket.sentAt();
                    cancelIdleTimeout();
                }
                proceed();
            }
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public void writable() {
        writer.writable();
    }

    /** Parses the buffered bytes, unless a response is still to be written. */
    private void proceed() {
        if (busy || !writer.isDone()) {
            return;
        }
        boolean ended = reader.advance();
        if (reader.isBroken()) {
            close();
            return;
        }
        reportId();
        if (ended) {
            handleRequest();
        } else if (!answeredEarly && reader.hasHead()) {
            answerEarly();
        }
    }

    private void reportId() {
        if (!idReported) {
            String id = reader.partialHeader("x-request-id");
            if (id != null && !id.isEmpty()) {
                idReported = true;
                day.evidence.serverReadId(
                        server.uid(),
                        server.life(),
                        sidecar(),
                        day.sentRequests.effectiveId(id, method()),
                        firstByteSentAt);
            }
        }
    }

    private String method() {
        return reader.hasHead() ? reader.word(0) : reader.firstPartialWord();
    }

    private void answerEarly() {
        String id = reader.header("x-request-id");
        if (id != null
                && day.sentRequests.peekExtra(id) == ResponseExtra.EARLY
                && day.sentRequests.find(id) != null) {
            day.sentRequests.takeExtra(id);
            answeredEarly = true;
            earlyProcessed = server.answerEarly(this, id);
        }
    }

    private void handleRequest() {
        String id = reader.header("x-request-id");
        Message message = reader.message();
        long deadline = deadline();
        Received received =
                new Received(
                        id == null ? "" : day.sentRequests.effectiveId(id, message.method()),
                        message,
                        firstByteSentAt,
                        socket.sentAt(),
                        deadline,
                        deadline > 0 ? day.now() + deadline : Long.MAX_VALUE,
                        first);
        boolean wasAnswered = answeredEarly;
        first = false;
        idReported = false;
        answeredEarly = false;
        reader.next();
        if (reader.hasPartialMessage()) {

            // The start of the next request was read together with the end of this one; the time at

            // which that was sent is the best known estimate.
            firstByteSentAt = socket.sentAt();
        }
        if (wasAnswered) {
            reportReceived(received, 0);
            if (!earlyProcessed) {
                day.evidence.serverDidNotRun(server.uid(), server.life(), received.id());
            }
            startIdleTimeout();
            return;
        }
        busy = true;
        repeatable = null;
        server.handle(this, received);
    }

    /** Reports a received request to the listener; its message even without an id. */
    void reportReceived(Received received, long work) {
        if (!received.id().isEmpty()) {
            day.evidence.serverReceived(
                    server.uid(),
                    server.life(),
                    sidecar(),
                    received.id(),
                    received.firstByteSentAt(),
                    received.lastByteSentAt(),
                    work);
        }
        day.evidence.serverReadMessage(
                server.uid(),
                sidecar(),
                received.id(),
                received.message(),
                received.deadline(),
                received.firstByteSentAt());
    }

    private long deadline() {
        String header = reader.header("x-deadline");
        try {
            return header == null ? 0 : Math.round(Double.parseDouble(header) * Site.SECOND);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Writes the response to the open request, then reads the next request. */
    void send(Script script) {
        if (!isOpen()) {
            return;
        }
        writer.start(
                script,
                () -> {
                    busy = false;
                    if (!socket.isOpen()) {
                        stop();
                        server.closed(this);
                        return;
                    }
                    startIdleTimeout();
                    if (reader.hasPartialMessage()) {
                        proceed();
                    }
                });
    }

    /** Sets the response that {@link #repeatAnswer} sends again. */
    void setRepeatable(String answer) {
        repeatable = answer;
    }

    /**
     * Sends the last response again, if no request is open or in transit and the copy fits into one
     * segment. To be called only while the sidecar reads nothing, so that no request can cross the
     * copy.
     *
     * @param restAfter delay in nanoseconds of all but the first bytes; 0 for none
     */
    void repeatAnswer(long restAfter) {
        if (repeatable == null
                || !isOpen()
                || isBusy()
                || reader.hasPartialMessage()
                || socket.peer() == null
                || socket.peer().bytesWritten() != socket.bytesRead()
                || !carriesAtOnce(repeatable.length())) {
            return;
        }
        int headBytes = restAfter > 0 ? Math.min(repeatable.length(), CUT_AT_BYTES) : 0;
        send(
                restAfter > 0
                        ? Script.of(repeatable.substring(0, headBytes))
                                .then(restAfter, repeatable.substring(headBytes))
                        : Script.of(repeatable));
    }

    /** Whether this many bytes reach the other end in one segment. */
    boolean carriesAtOnce(int bytes) {
        NetworkConditions conditions = day.network.conditions(socket.host(), socket.peerHost());
        return bytes <= SEGMENT_BYTES
                && conditions.segment == 0
                && conditions.bytesPerSecond == 0
                && conditions.sendBuffer > SEGMENT_BYTES
                && conditions.receiveBuffer > SEGMENT_BYTES;
    }

    /** Starts the idle timeout. */
    private void startIdleTimeout() {
        cancelIdleTimeout();
        if (isOpen() && !reader.hasPartialMessage()) {
            long idle = day.plan.size(ScenarioParameter.SERVER_IDLE);

            // After the faults, connections stay open for at least the idle timeout that is in the

            // sidecars' settings.
            long minIdle = day.faultsMayOccur() ? 0 : day.plan.size(ScenarioParameter.CONN_IDLE);
            boolean asConfigured =
                    Math.max(idle, minIdle) >= day.plan.size(ScenarioParameter.CONN_IDLE);
            boolean drops = asConfigured && socket.id() % 2 == 0;
            idleTimeout =
                    day.after(
                            Math.max(idle, minIdle), drops ? this::dropIfIdle : this::closeIfIdle);
        }
    }

    /**
     * Drops an idle connection without closing it, as a middlebox on the way may do after the idle
     * timeout in the sidecars' settings.
     */
    private void dropIfIdle() {
        if (!isBusy() && !reader.hasPartialMessage()) {
            stop();
            socket.fault(SimSocket.Fault.BLACK_HOLE);
            server.closed(this);
        }
    }

    private void cancelIdleTimeout() {
        if (idleTimeout != null) {
            idleTimeout.cancel();
            idleTimeout = null;
        }
    }
}
