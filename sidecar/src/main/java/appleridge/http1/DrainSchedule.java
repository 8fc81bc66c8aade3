package appleridge.http1;

import java.util.concurrent.TimeUnit;

/**
 * When the steps of a service's end come, in nanoseconds after it was told to end. Pure arithmetic
 * on what the platform promises.
 *
 * <p>Invariant: the service has ended before SIGKILL may come, however short deadlines are; what
 * SIGKILL finds unanswered is lost.
 *
 * @param acceptsUntil new connections are taken up to here
 * @param lastCall from here on each answer is the last one on its connection, and idle connections
 *     end
 * @param end nothing is open any more
 */
record DrainSchedule(long acceptsUntil, long lastCall, long end) {
    /** SIGKILL comes no sooner after SIGTERM than this and the longest deadline. */
    private static final long GRACE = millis(700);

    /** But of a deadline no more than this is waited for. */
    private static final long LONGEST_WAITED = millis(3000);

    /**
     * Of the time up to SIGKILL, what is kept back: a process may be held up for 150 ms before it
     * hears of SIGTERM and once more between reading its clock and writing, and waits for the core
     * beside that.
     */
    private static final long RESERVE = millis(400);

    /** Of the time up to SIGKILL no more than this part is kept back. */
    private static final double RESERVE_AT_MOST = 0.5;

    /** New connections go on coming for up to 0.4 s after SIGTERM. */
    private static final long NEW_CONNECTIONS = millis(600);

    /** For the last requests and their answers. */
    private static final long LAST_REQUESTS = millis(300);

    /** Of the whole time no more than this part is for the last requests. */
    private static final double LAST_REQUESTS_AT_MOST = 1.0 / 3;

    /** With the longest that a client waits, in nanoseconds. */
    static DrainSchedule of(long longestDeadline) {
        long kill = Math.min(LONGEST_WAITED, longestDeadline) + GRACE;
        long end = kill - Math.min(RESERVE, (long) (kill * RESERVE_AT_MOST));
        long lastRequests = Math.min(LAST_REQUESTS, (long) (end * LAST_REQUESTS_AT_MOST));
        return new DrainSchedule(Math.min(NEW_CONNECTIONS, end), end - lastRequests, end);
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
