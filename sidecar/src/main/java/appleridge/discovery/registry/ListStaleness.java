package appleridge.discovery.registry;

import appleridge.request.EndpointSubscription;
import java.util.concurrent.TimeUnit;

/**
 * Tracks since when updates may count as notified to this sidecar that it has not received.
 *
 * <p>What a local agent knows counts as notified at once, from the first moment of the process on,
 * whether or not the agent answers. Of a shared service only what it was not polled for in time
 * counts. Takes no action and reads no clock; times are those of the event loop, in nanoseconds.
 */
final class ListStaleness {
    /**
     * After a change of the registry's address, what the other one knows counts this much later.
     */
    private static final long SWITCH_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** What a watch misses counts as notified this long after its end. */
    private static final long AFTER_WATCH_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** What another call misses counts as notified this long after it was sent. */
    private static final long AFTER_CALL_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final PollPolicy policy;
    private final long drainGraceNanos;
    private long staleSinceNanos;

    /**
     * The calls around a stall of the event loop.
     *
     * @param sinceNanos when the stall began
     * @param nowNanos when it ended
     * @param lastSentNanos when the last call before the stall was sent
     * @param isWatch whether that call was a watch
     * @param unanswered whether that call was in flight through the whole stall
     * @param failing whether no call has been answered since the last failure
     */
    record Stall(
            long sinceNanos,
            long nowNanos,
            long lastSentNanos,
            boolean isWatch,
            boolean unanswered,
            boolean failing) {}

    /**
     * Creates the state after the start.
     *
     * @param processStartNanos when this process began
     * @param drainGraceNanos the time within which a drain has to take effect
     */
    ListStaleness(PollPolicy policy, long processStartNanos, long drainGraceNanos) {
        this.policy = policy;
        this.drainGraceNanos = drainGraceNanos;
        this.staleSinceNanos =
                policy.isLocalAgent() ? processStartNanos : EndpointSubscription.NOT_STALE;
    }

    /** The time as {@link EndpointSubscription#staleSinceNanos} gives it. */
    long staleSinceNanos() {
        return staleSinceNanos;
    }

    /** Records that the list was received as the registry has it now. */
    void onListReceived() {
        staleSinceNanos = EndpointSubscription.NOT_STALE;
    }

    /** Records that a call failed: a shared service counts anew from this call. */
    void onCallFailed() {
        if (!policy.isLocalAgent()) {
            staleSinceNanos = EndpointSubscription.NOT_STALE;
        }
    }

    /** Records that the registry has another address from now on. */
    void onRegistrySwitched(long nowNanos) {
        if (policy.isLocalAgent()) {
            markStale(nowNanos + SWITCH_DELAY_NANOS);
        }
    }

    /** Records a stall, in which updates may have been missed. */
    void onStall(Stall stall) {
        long notifiedSince = notifiedSinceNanos(stall);
        if (stall.nowNanos() > notifiedSince) {
            markStale(notifiedSince);
        }
    }

    private long notifiedSinceNanos(Stall stall) {
        if (policy.isLocalAgent()) {
            return agentMayHaveUpdates(stall) ? stall.sinceNanos() : EndpointSubscription.NOT_STALE;
        }
        if (!stall.unanswered()) {
            return stall.lastSentNanos() + policy.notificationDelayNanos();
        }
        return stall.lastSentNanos()
                + (stall.isWatch() ? policy.watchNanos() + AFTER_WATCH_NANOS : AFTER_CALL_NANOS);
    }

    /**
     * An agent that has updates answers at once, so that one that leaves a call unanswered has
     * none. One that fails before and after a stall within the drain grace is taken to have failed
     * throughout.
     */
    private boolean agentMayHaveUpdates(Stall stall) {
        boolean sameOutage =
                stall.failing() && stall.nowNanos() - stall.sinceNanos() <= drainGraceNanos;
        return !stall.unanswered() && !sameOutage;
    }

    private void markStale(long sinceNanos) {
        staleSinceNanos = Math.min(staleSinceNanos, sinceNanos);
    }
}
