package appleridge.lease;

import java.util.concurrent.TimeUnit;

/**
 * What a lease rests on; all times in nanoseconds. All who seek one lease have the same terms.
 *
 * @param term how long a record that is not renewed keeps others out
 * @param driftPpm how far any clock may be off true time, in millionths: two may differ by twice
 *     that
 * @param guard how old the time may be that is told with an event, or with the check before an act
 * @param renewEvery how long after a request the next one is made
 * @param longestPause the longest time between the check before an act and its beginning (assumed)
 * @param longestAct the longest time that an act goes on (assumed)
 * @param fenced whether what is acted on refuses older tokens; if not, the two times above are
 *     waited out
 */
public record LeaseParameters(
        long term,
        int driftPpm,
        long guard,
        long renewEvery,
        long longestPause,
        long longestAct,
        boolean fenced) {
    /** One hour: far from where sums of times could overflow. */
    static final long LONGEST = TimeUnit.HOURS.toNanos(1);

    private static final int MILLION = 1_000_000;

    public LeaseParameters {
        if (term <= 0
                || term > LONGEST
                || longestPause < 0
                || longestPause > LONGEST
                || longestAct < 0
                || longestAct > LONGEST
                || guard < 0
                || guard > term
                || driftPpm < 0
                || driftPpm >= MILLION) {
            throw new IllegalArgumentException("out of range");
        }
        if (renewEvery <= 0 || renewEvery >= shortened(term, driftPpm) - guard) {
            throw new IllegalArgumentException("renewed too late for its term");
        }
    }

    /** For a task of which the thing acted on refuses older tokens: safe whatever the clocks do. */
    public static LeaseParameters fenced(long term, int driftPpm, long guard, long renewEvery) {
        return new LeaseParameters(term, driftPpm, guard, renewEvery, 0, 0, true);
    }

    /** For a task that nothing refuses: safe as long as the assumptions hold. */
    public static LeaseParameters timed(
            long term,
            int driftPpm,
            long guard,
            long renewEvery,
            long longestPause,
            long longestAct) {
        return new LeaseParameters(
                term, driftPpm, guard, renewEvery, longestPause, longestAct, false);
    }

    /**
     * How long a holder may act, by its own clock, from before the request that the store has
     * answered.
     */
    public long actFor() {
        return shortened(term, driftPpm) - guard;
    }

    /**
     * How long a record of such a term must stay unchanged, by the own clock, before it is taken
     * over.
     */
    public long keptOutFor(long itsTerm) {
        return lengthened(Math.max(0, Math.min(itsTerm, LONGEST))) + guard;
    }

    /** How long acts of a holder that has lost the lease may still go on, by any clock. */
    public long actsOut() {
        return fenced ? 0 : lengthened(longestPause + longestAct);
    }

    private static long shortened(long time, int driftPpm) {
        return time - drift(time, driftPpm);
    }

    private long lengthened(long time) {
        return time + drift(time, driftPpm);
    }

    /** Rounded up: the whole parts of the million first, so that no product overflows. */
    private static long drift(long time, int driftPpm) {
        return time / MILLION * driftPpm + (time % MILLION * driftPpm + MILLION - 1) / MILLION;
    }
}
