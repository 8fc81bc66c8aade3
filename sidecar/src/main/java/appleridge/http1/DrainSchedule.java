package appleridge.http1;

import java.util.concurrent.TimeUnit;

/**
 * The times of the steps of a drain, in nanoseconds after SIGTERM, computed from the platform's
 * guarantees.
 *
 * <p>Invariant: the drain ends before SIGKILL can arrive, however short the deadlines are. A
 * request that is not answered by then is lost.
 *
 * @param acceptUntilNanos when accepting new connections ends
 * @param connectionCloseNanos from when on idle connections are closed, and the others after their
 *     next response
 * @param endNanos when requests whose response has not begun expire; streams may continue
 */
record DrainSchedule(long acceptUntilNanos, long connectionCloseNanos, long endNanos) {
    /** SIGKILL follows SIGTERM no sooner than after the longest deadline plus this delay. */
    private static final long MIN_KILL_DELAY_NANOS = millis(700);

    /** The part of a longer deadline for which the platform delays SIGKILL. */
    private static final long MAX_AWAITED_DEADLINE_NANOS = millis(3000);

    /**
     * The reserve before SIGKILL, because the process may stall before it handles SIGTERM and again
     * between reading its clock and writing a response.
     */
    private static final long RESERVE_NANOS = millis(400);

    /** The maximum fraction of the time up to SIGKILL for the reserve. */
    private static final double MAX_RESERVE_FRACTION = 0.5;

    /** New connections may arrive for up to 0.4 s after SIGTERM; the rest is margin. */
    private static final long ACCEPT_NANOS = millis(600);

    /** The time for the last requests and their responses. */
    private static final long LAST_REQUESTS_NANOS = millis(300);

    /** The maximum fraction of the drain for the last requests. */
    private static final double MAX_LAST_REQUESTS_FRACTION = 1.0 / 3;

    /** Returns the schedule for the longest deadline of any request class. */
    static DrainSchedule of(long longestDeadlineNanos) {
        long kill =
                Math.min(MAX_AWAITED_DEADLINE_NANOS, longestDeadlineNanos) + MIN_KILL_DELAY_NANOS;
        long end = kill - Math.min(RESERVE_NANOS, (long) (kill * MAX_RESERVE_FRACTION));
        long lastRequests =
                Math.min(LAST_REQUESTS_NANOS, (long) (end * MAX_LAST_REQUESTS_FRACTION));
        return new DrainSchedule(Math.min(ACCEPT_NANOS, end), end - lastRequests, end);
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
