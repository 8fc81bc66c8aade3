package appleridge.http1;

import appleridge.request.LogEvent;
import appleridge.request.RequestCoordinator;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Ends the listening side in order: what is open is answered, connections end without a reset, and
 * all of it is over before the platform kills the process. Loop thread only.
 */
final class GracefulDrain {
    /** For the loop to look for events, so that what the system holds is seen. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * Beside a process that accepts already, for so long after SIGTERM an idle connection may still
     * bring a request, whose response then says that it was the last one.
     */
    private static final long KEEP_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final SidecarEventLoop loop;
    private final RequestCoordinator coordinator;
    private final ClientConnectionRegistry connections;
    private final AcceptGate acceptGate;
    private Channel listener;
    private boolean listenerInherited;
    private boolean started;
    private boolean lastCall;
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

    /** Whether the drain has begun. */
    boolean hasStarted() {
        return started;
    }

    /** Whether every response is the last one on its connection. */
    boolean isLastCall() {
        return lastCall;
    }

    /**
     * Begins. Beside another process that accepts from the same socket nothing more is accepted,
     * each response is the last one on its connection, and idle connections are ended soon.
     *
     * @param listening the listening channel
     * @param inherited whether the platform holds its socket, so that another process accepts
     * @param signalledAgoNanos since the process was told to end: SIGKILL does not wait for a late
     *     loop
     * @param whenDrained run once, when all connections are closed
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
            lastCall = true;
            loop.scheduleAt(
                    signalledAt + KEEP_IDLE_NANOS,
                    () -> connections.snapshot().forEach(ClientConnection::shutDownIfIdle));
        } else {
            drainAlone(signalledAt, schedule);
        }
        // What is due at the end is answered at the end; what is open after that is not waited for.
        loop.scheduleAt(signalledAt + schedule.endNanos() + SETTLE_NANOS, this::closeRemaining);
        endIfDrained();
    }

    /**
     * Drains where no other process accepts: accepting ends soon, but connections are served for as
     * long as SIGKILL is known not to come, for the sidecar that takes them over may not be up yet,
     * and with neither all requests fail. Holds only while SIGKILL comes no sooner than promised,
     * and clients go elsewhere before the end.
     */
    private void drainAlone(long signalledAt, DrainSchedule schedule) {
        loop.scheduleAt(
                signalledAt + schedule.acceptUntilNanos(),
                () -> acceptGate.end(this::endIfDrained));
        loop.scheduleAt(
                signalledAt + schedule.lastCallNanos(),
                () -> {
                    logStep("last_call");
                    lastCall = true;
                    connections.snapshot().forEach(ClientConnection::closeIfIdle);
                    endIfDrained();
                });
    }

    private void closeRemaining() {
        logStep("deadline");
        connections.snapshot().forEach(ClientConnection::closeUnlessRequestOpen);
    }

    /**
     * Ends the drain if nothing is open; to be called when a connection has closed.
     *
     * <p>The loop looks for events once more first: the system's listening socket ends only then,
     * and what connects before, or had been handed over, would be reset by the process's end.
     */
    void endIfDrained() {
        if (isDrained() && !settling) {
            settling = true;
            loop.schedule(
                    SETTLE_NANOS,
                    () -> {
                        settling = false;
                        if (isDrained()) {
                            Runnable notified = onDrained;
                            onDrained = null;
                            notified.run();
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
