package appleridge.http1;

import appleridge.request.LogEvent;
import appleridge.request.RequestCoordinator;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Drains the client side: open requests are answered, connections are closed without a reset, and
 * the drain ends before the platform kills the process. Event loop only.
 */
final class GracefulDrain {
    /** Time for the event loop to read events that the kernel already holds. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * How long after SIGTERM idle connections stay open while another process accepts. A request
     * that arrives in this time gets a response with {@code Connection: close}.
     */
    private static final long KEEP_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final SidecarEventLoop loop;
    private final RequestCoordinator coordinator;
    private final ClientConnectionRegistry connections;
    private final AcceptGate acceptGate;
    private Channel listener;
    private boolean listenerInherited;
    private boolean started;
    private boolean closingConnections;
    private boolean settling;
    private Runnable onDrained;

    GracefulDrain(
            SidecarEventLoop loop,
            RequestCoordinator coordinator,
            ClientConnectionRegistry connections,
            AcceptGate acceptGate) {
        this.loop = loop;
        this.coordinator = coordinator;
        this.connections = connections;
        this.acceptGate = acceptGate;
    }

    /** Whether the drain has started. */
    boolean hasStarted() {
        return started;
    }

    /** Whether each connection is closed after its next response. */
    boolean closesConnectionsAfterResponse() {
        return closingConnections;
    }

    /**
     * Starts the drain. If another process accepts from the same socket, this one stops accepting,
     * closes each connection after its next response, and closes idle connections soon.
     *
     * @param listening the listening channel
     * @param inherited whether the platform holds its socket, so that another process accepts
     * @param signalledAgoNanos the time since the process received SIGTERM, from which the time up
     *     to SIGKILL counts even if the event loop was late to handle it
     * @param whenDrained runs once, when all connections are closed
     */
    void start(Channel listening, boolean inherited, long signalledAgoNanos, Runnable whenDrained) {
        listener = listening;
        listenerInherited = inherited;
        started = true;
        onDrained = whenDrained;
        long signalledAt = loop.nanoTime() - signalledAgoNanos;
        DrainSchedule schedule = DrainSchedule.of(coordinator.longestDeadlineNanos());
        coordinator.setShutdownDeadline(signalledAt + schedule.endNanos());
        logStep(
                "begun signal_age_ms="
                        + TimeUnit.NANOSECONDS.toMillis(signalledAgoNanos)
                        + " end_ms="
                        + TimeUnit.NANOSECONDS.toMillis(schedule.endNanos()));
        if (listenerInherited) {
            acceptGate.stop();
            closingConnections = true;
            loop.scheduleAt(
                    signalledAt + KEEP_IDLE_NANOS,
                    () -> connections.snapshot().forEach(ClientConnection::shutDownIfIdle));
        } else {
            drainAlone(signalledAt, schedule);
        }
        // Requests that expire at the end are answered then; requests open after that are not
        // waited for.
        loop.scheduleAt(signalledAt + schedule.endNanos() + SETTLE_NANOS, this::closeRemaining);
        endIfDrained();
    }

    /**
     * Drains while no other process accepts. Accepting ends soon, but open connections are served
     * for as long as SIGKILL is guaranteed not to arrive: the sidecar that takes over may not be up
     * yet, and without either all requests would fail. Relies on SIGKILL arriving no sooner than
     * guaranteed, and on clients connecting elsewhere before the end.
     */
    private void drainAlone(long signalledAt, DrainSchedule schedule) {
        loop.scheduleAt(
                signalledAt + schedule.acceptUntilNanos(),
                () -> acceptGate.end(this::endIfDrained));
        loop.scheduleAt(
                signalledAt + schedule.connectionCloseNanos(),
                () -> {
                    logStep("last_call");
                    closingConnections = true;
                    connections.snapshot().forEach(ClientConnection::closeIfIdle);
                    endIfDrained();
                });
    }

    private void closeRemaining() {
        logStep("deadline");
        coordinator.flushLog();
        connections.snapshot().forEach(ClientConnection::closeUnlessRequestOpen);
    }

    /**
     * Ends the drain if no connection is open. Must be called whenever a connection has closed.
     *
     * <p>Waits for one more turn of the event loop first: only then does the kernel close the
     * listening socket, and the exit of the process would reset any connection that arrived before.
     */
    void endIfDrained() {
        if (isDrained() && !settling) {
            settling = true;
            loop.schedule(
                    SETTLE_NANOS,
                    () -> {
                        settling = false;
                        if (isDrained()) {
                            Runnable callback = onDrained;
                            onDrained = null;
                            coordinator.flushLog();
                            callback.run();
                        }
                    });
        }
    }

    private boolean isDrained() {
        return started
                && (listenerInherited || !listener.isOpen())
                && connections.isEmpty()
                && onDrained != null;
    }

    private void logStep(String step) {
        loop.log()
                .event(
                        LogEvent.DRAIN,
                        () ->
                                "step="
                                        + step
                                        + " connections="
                                        + connections.size()
                                        + " open="
                                        + coordinator.inFlightCounts().openRequests());
    }
}
