package appleridge.discovery.registry;

import java.util.concurrent.TimeUnit;

/**
 * How long calls to the registry may take, in nanoseconds.
 *
 * @param watchNanos how long a watch may wait for an update
 * @param watchGraceNanos what a watch may take beyond that before a call is sent beside it
 * @param callTimeoutNanos a call that need not wait
 * @param snapshotAfterFailure a failure is followed by a call for a snapshot, which need not wait,
 *     and not by a watch
 * @param notificationDelayNanos for so long after a call nothing counts as notified but what was
 *     sent in its response
 */
public record PollPolicy(
        long watchNanos,
        long watchGraceNanos,
        long callTimeoutNanos,
        boolean snapshotAfterFailure,
        long notificationDelayNanos) {
    /**
     * For an agent on the same machine to which lists are pushed. It answers at once or, while what
     * is behind it is down, not at all; when it is back, what it has counts as notified by whatever
     * call.
     */
    public static final PollPolicy AGENT =
            new PollPolicy(
                    TimeUnit.SECONDS.toNanos(1),
                    TimeUnit.MILLISECONDS.toNanos(250),
                    TimeUnit.MILLISECONDS.toNanos(150),
                    true,
                    0);

    /** The protocol's longest watch. */
    private static final long MAX_WATCH_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Watches in the time in which the registry has to be polled once. */
    private static final int WATCHES_PER_INTERVAL = 4;

    /**
     * For one service that all sidecars poll, and which gives a call up after two seconds itself. A
     * watch that the registry has lost looks like one without an update until its time is over, and
     * every change meanwhile is missed; so watches are short, which costs the registry a few calls
     * more.
     *
     * @param within nanoseconds in which the registry has to be polled at least once
     */
    public static PollPolicy sharedService(long within) {
        return new PollPolicy(
                Math.min(MAX_WATCH_NANOS, within / WATCHES_PER_INTERVAL),
                TimeUnit.MILLISECONDS.toNanos(500),
                TimeUnit.SECONDS.toNanos(3),
                false,
                within);
    }
}
