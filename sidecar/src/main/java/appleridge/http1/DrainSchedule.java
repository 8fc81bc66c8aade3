package appleridge.http1;

import java.util.concurrent.TimeUnit;

/**
 * When the steps of a drain come, in nanoseconds after SIGTERM. Pure arithmetic on what the
 * platform promises.
 *
 * <p>Invariant: the drain ends before SIGKILL may come, however short deadlines are; what SIGKILL
 * finds unanswered is lost.
 *
 * @param acceptUntilNanos new connections are accepted up to here
 * @param lastCallNanos from here on each response is the last one on its connection, and idle
 *     connections are closed
 * @param endNanos requests whose response has not begun expire; streams may go on
 */
record DrainSchedule(long acceptUntilNanos, long lastCallNanos, long endNanos) {
    /** SIGKILL comes no sooner than the longest deadline and this, counted from SIGTERM. */
    private static final long MIN_KILL_DELAY_NANOS = millis(700);

    /** The platform waits for no more than this of a deadline before SIGKILL. */
    private static final long MAX_AWAITED_DEADLINE_NANOS = millis(3000);

    /**
     * Of the time up to SIGKILL, what is kept in reserve: the process may stall before it sees
     * SIGTERM, and again between reading its clock and writing.
     */
    private static final long RESERVE_NANOS = millis(400);

    /** Of the time up to SIGKILL, the most that is kept in reserve. */
    private static final double MAX_RESERVE_FRACTION = 0.5;

    /** New connections go on coming for up to 0.4 s after SIGTERM; the rest is margin. */
    private static final long ACCEPT_NANOS = millis(600);

    /** For the last requests and their responses. */
    private static final long LAST_REQUESTS_NANOS = millis(300);

    /** Of the whole time, the most that is for the last requests. */
    private static final double MAX_LAST_REQUESTS_FRACTION = 1.0 / 3;

    /** For the longest time that a client waits. */
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
