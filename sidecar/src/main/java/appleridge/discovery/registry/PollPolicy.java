package appleridge.discovery.registry;

import java.util.concurrent.TimeUnit;

/**
 * Time limits of calls to the registry, in nanoseconds. A watch is a long poll: the registry
 * answers it with the next update, or without one when its time is over. Any other call is answered
 * at once.
 *
 * @param watchNanos how long a watch may wait for an update
 * @param watchGraceNanos how much longer a watch may take before another call is sent beside it
 * @param callTimeoutNanos how long a call other than a watch may take
 * @param snapshotAfterFailure whether a call for a snapshot, not a watch, follows a failure
 * @param notificationDelayNanos how long after a call only what its response contains counts as
 *     notified
 */
public record PollPolicy(
        long watchNanos,
        long watchGraceNanos,
        long callTimeoutNanos,
        boolean snapshotAfterFailure,
        long notificationDelayNanos) {
    /**
     * For an agent on the same machine that endpoint lists are pushed to. It answers at once or,
     * while its backend is down, not at all. Once it answers again, all that it knows counts as
     * notified by any call.
     */
    public static final PollPolicy AGENT =
            new PollPolicy(
                    TimeUnit.SECONDS.toNanos(1),
                    TimeUnit.MILLISECONDS.toNanos(250),
                    TimeUnit.MILLISECONDS.toNanos(150),
                    true,
                    0);

    /**
     * Whether the registry is an agent on the same machine, which knows what counts as notified.
     */
    boolean isLocalAgent() {
        return notificationDelayNanos == 0;
    }

    /** The longest watch that the protocol allows. */
    private static final long MAX_WATCH_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Watches per interval in which the registry must be polled at least once. */
    private static final int WATCHES_PER_INTERVAL = 4;

    /**
     * For one service that all sidecars poll, and which gives up a call after two seconds itself. A
     * watch that the registry has lost looks like one without an update until its time is over, and
     * all changes until then are missed. Watches are therefore short, at the cost of a few more
     * calls.
     *
     * @param pollIntervalNanos the interval in which the registry must be polled at least once
     */
    public static PollPolicy sharedService(long pollIntervalNanos) {
        return new PollPolicy(
                Math.min(MAX_WATCH_NANOS, pollIntervalNanos / WATCHES_PER_INTERVAL),
                TimeUnit.MILLISECONDS.toNanos(500),
                TimeUnit.SECONDS.toNanos(3),
                false,
                pollIntervalNanos);
    }
}
