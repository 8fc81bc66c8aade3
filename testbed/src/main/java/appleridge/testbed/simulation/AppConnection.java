package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayDeque;

/**
 * A well-behaved client's connection to a sidecar. It usually carries one request at a time and
 * sometimes pipelines a few.
 */
final class AppConnection implements SimSocket.Events {
    private static final int READ_SIZE = 1 << 16;
    private static final int SLOW_READ_SIZE = 60;
    private static final long SLOW_READ_PAUSE = 4 * Site.MS;
    private static final long CONNECT_TIMEOUT = Site.SECOND;
    private static final int MAX_PIPELINED = 3;

    private final Day day;
    private final Application application;
    private final ProcessSlot slot;
    private final HttpReader reader = new HttpReader(true);
    private final ArrayDeque<PendingAttempt> openAttempts = new ArrayDeque<>(2);

    /** For each open attempt, the bytes written on this connection before its request. */
    private final ArrayDeque<Long> startOffsets = new ArrayDeque<>(2);

    private SimSocket socket;
    private ScriptWriter writer;
    private PendingAttempt firstAttempt;
    private Simulation.Event connectTimeout;
    private Simulation.Event slowRead;
    private long openedAt;
    private boolean hasReceivedResponse;
    private boolean keptOnly;
    private boolean closed;
    private boolean stalled;
    private boolean faulty;

    AppConnection(Day day, Application application, ProcessSlot slot, PendingAttempt firstAttempt) {
        this.day = day;
        this.application = application;
        this.slot = slot;
        this.firstAttempt = firstAttempt;
    }

    ProcessSlot slot() {
        return slot;
    }

    SimSocket socket() {
        return socket;
    }

    /** Starts to connect; returns false if that fails at once. */
    boolean connect() {
        try {
            openedAt = day.now();
            socket = application.host().connect(slot.address(), this);
            writer = new ScriptWriter(day.simulation, socket);
            connectTimeout =
                    day.after(CONNECT_TIMEOUT, () -> failed(new IOException("connect timeout")));
            return true;
        } catch (IOException e) {
            closed = true;
            return false;
        }
    }

    /** Whether the connection is open, idle and usable for another request. */
    boolean isFree() {
        return !closed && firstAttempt == null && openAttempts.isEmpty() && !keptOnly && !stalled;
    }

    /** Whether the client keeps the connection open but sends no further request on it. */
    boolean isKeptOnly() {
        return !closed && keptOnly && openAttempts.isEmpty();
    }

    /** Returns the id of the oldest open request, or null. */
    String openId() {
        return openAttempts.isEmpty() ? null : openAttempts.peek().id;
    }

    /**
     * Whether a request that expires at the given time may be pipelined behind the open ones: it
     * must not expire before them.
     */
    boolean canPipeline(long expiresAt) {
        return !closed
                && firstAttempt == null
                && !keptOnly
                && !stalled
                && !openAttempts.isEmpty()
                && openAttempts.size() < MAX_PIPELINED
                && writer.isDone()
                && !openAttempts.peekLast().intent.slowReader
                && openAttempts.peekLast().expiresAt() <= expiresAt;
    }

    void send(PendingAttempt attempt) {
        openAttempts.add(attempt);
        startOffsets.add(socket.bytesWritten());
        attempt.start(this);
        if (faulty) {
            reportFaulty(attempt);
        }
        writer.start(attempt.script(), attempt::written);
    }

    // ---- actions of the client

    /** Closes the connection and abandons the open attempts. */
    void disconnect() {
        if (!closed) {
            close();
            abandonAll();
        }
    }

    /** Resets the connection and abandons the open attempts. */
    void reset() {
        if (!closed) {
            closed = true;
            writer.stop();
            socket.reset();
            application.connectionClosed(this);
            abandonAll();
        }
    }

    /** Shuts down the output. The client counts as gone and abandons the open attempts. */
    void halfClose() {
        if (!closed) {
            keptOnly = true;
            writer.stop();
            socket.shutdownOutput();
            abandonAll();
            day.after(Site.SECOND, this::disconnect);
        }
    }

    /** Stops reading for good. */
    void stall() {
        markFaulty();
        stalled = true;
        if (socket.peer() != null) {
            socket.fault(SimSocket.Fault.STALL_READS);
        }
    }

    /**
     * Marks the connection as permanently affected by a fault: the sidecar is not responsible for
     * what happens to requests on it.
     */
    void markFaulty() {
        faulty = true;
        openAttempts.forEach(this::reportFaulty);
    }

    private void reportFaulty(PendingAttempt attempt) {

        // The fault's effects have the same timestamp, so the affected time starts just before it.
        day.evidence.clientLinkTroubled(slot.name(), attempt.id, day.now() - 1, Long.MAX_VALUE);
    }

    private void abandonAll() {
        while (!openAttempts.isEmpty()) {
            openAttempts.poll().abandon();
        }
        startOffsets.clear();
    }

    private void close() {
        closed = true;
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        writer.stop();
        socket.close();
        application.connectionClosed(this);
    }

    // ---- socket events

    @Override
    public void connected() {
        connectTimeout.cancel();
        PendingAttempt attempt = firstAttempt;
        firstAttempt = null;
        send(attempt);
    }

    @Override
    public void failed(IOException cause) {
        if (!closed) {
            PendingAttempt unsent = firstAttempt;
            firstAttempt = null;
            close();
            if (cause instanceof ConnectException) {
                day.evidence.connectRefused(slot.name(), openedAt);
            }
            if (unsent != null) {
                slot.connectFailed();
                unsent.unsent();
            }
        }
    }

    @Override
    public void writable() {
        if (!closed) {
            writer.writable();
        }
    }

    @Override
    public void readable() {
        if (closed || stalled) {
            return;
        }
        if (!openAttempts.isEmpty() && openAttempts.peek().intent.slowReader) {
            if (slowRead == null) {
                slowRead =
                        day.after(
                                SLOW_READ_PAUSE,
                                () -> {
                                    slowRead = null;
                                    if (!closed && !stalled) {
                                        read(SLOW_READ_SIZE);
                                        if (!closed && socket.isReadable()) {
                                            readable();
                                        }
                                    }
                                });
            }
            return;
        }
        while (!closed && socket.isReadable()) {

            // Several responses may be readable at once. Reading no further than the end of the

            // current one gives the time at which its last byte was sent.
            if (!read(openAttempts.size() > 1 ? reader.missingBytes() : READ_SIZE)) {
                return;
            }
        }
    }

    /** Reads once; returns false if there is nothing more to read. */
    private boolean read(int maxBytes) {
        try {
            int read = reader.read(socket, maxBytes);
            if (read < 0 && !readResponses()) {
                connectionLost(reader.hasPartialMessage() ? "cut" : "closed");
            } else if (read > 0) {
                readResponses();
            }
            return read > 0;
        } catch (IOException e) {
            connectionLost("reset");
            return false;
        }
    }

    /** Takes all complete responses; returns false if nothing could be taken. */
    private boolean readResponses() {
        boolean any = false;
        while (!closed && reader.advance()) {
            if (reader.isBroken() || openAttempts.isEmpty()) {
                connectionLost("unreadable");
                return true;
            }
            any = true;
            takeResponse();
        }
        return any;
    }

    private void takeResponse() {
        int status = reader.status();
        if (status < 200) {
            reader.next();
            return;
        }
        String body = reader.body();
        long retryAfter = retryAfter(reader.header("retry-after"));
        boolean closing = "close".equalsIgnoreCase(reader.header("connection"));
        reader.next();
        PendingAttempt done = openAttempts.poll();
        startOffsets.poll();
        hasReceivedResponse = true;
        long sentAt = socket.sentAt();
        if (closing && openAttempts.isEmpty()) {
            close();
        } else if (done.intent.asksOnce) {
            keptOnly = true;
        }
        done.answered(status, body, retryAfter, sentAt);
        if (!closed && isFree()) {
            application.connectionFree(this);
        }
    }

    /** Parses Retry-After: nanoseconds, -1 if absent, {@link Long#MAX_VALUE} if unreadable. */
    private static long retryAfter(String text) {
        try {
            return text == null
                    ? -1
                    : Math.max(0, Math.round(Double.parseDouble(text) * Site.SECOND));
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    /** The peer or the network ended the connection. */
    private void connectionLost(String reason) {
        if (closed) {
            return;
        }
        boolean responseStarted = reader.hasPartialMessage();
        long read = socket.peer() == null ? 0 : socket.peer().bytesRead();
        close();
        while (!openAttempts.isEmpty()) {
            boolean crossed =
                    hasReceivedResponse && !responseStarted && read <= startOffsets.peek();
            startOffsets.poll();
            openAttempts.poll().broken(reason, responseStarted, crossed);
            responseStarted = false;
        }
    }
}
