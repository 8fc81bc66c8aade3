package appleridge.testbed.invariants;

/** Units of time in nanoseconds, and their text form. */
final class TimeSpans {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    private TimeSpans() {}

    /** Adds, limited to Long.MAX_VALUE. */
    static long saturatedAdd(long time, long more) {
        return time > Long.MAX_VALUE - more ? Long.MAX_VALUE : time + more;
    }

    /** Returns seconds with all nine decimals, such as 12.345678901s. */
    static String text(long nanos) {
        if (nanos < 0) {
            return "-" + text(-nanos);
        }
        return nanos / SECOND + "." + Long.toString(nanos % SECOND + SECOND).substring(1) + "s";
    }
}
