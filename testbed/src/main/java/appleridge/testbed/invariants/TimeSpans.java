package appleridge.testbed.invariants;

/** Spans of time in nanoseconds, and how they are written. */
final class TimeSpans {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    private TimeSpans() {}

    /** Never past the end of time. */
    static long saturatedAdd(long time, long more) {
        return time > Long.MAX_VALUE - more ? Long.MAX_VALUE : time + more;
    }

    /** In seconds with all decimals, such as 12.345678901s. */
    static String text(long nanos) {
        if (nanos < 0) {
            return "-" + text(-nanos);
        }
        return nanos / SECOND + "." + Long.toString(nanos % SECOND + SECOND).substring(1) + "s";
    }
}
