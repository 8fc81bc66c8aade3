package appleridge.lease;

import java.util.concurrent.TimeUnit;

/**
 * What the safety of a lease rests on. All processes that want one lease must have the same.
 *
 * @param termNanos how long a record that is not renewed keeps others out
 * @param driftPpm how far any clock may run off true time, in parts per million: two clocks may
 *     differ by twice that
 * @param clockGuardNanos how old the time may be that comes with an event or with the check before
 *     an operation
 * @param renewalIntervalNanos from a request to the next one
 * @param maxPauseNanos the longest time from the check to the start of its operation (assumed)
 * @param maxOperationNanos the longest time that an operation runs (assumed)
 * @param fenced whether the resource rejects older fencing tokens; if not, the two times above are
 *     waited for as a grace period before another holder starts
 */
public record LeaseParameters(
        long termNanos,
        int driftPpm,
        long clockGuardNanos,
        long renewalIntervalNanos,
        long maxPauseNanos,
        long maxOperationNanos,
        boolean fenced) {
    /** One hour, for each of the times: sums of them stay far from an overflow. */
    static final long MAX_NANOS = TimeUnit.HOURS.toNanos(1);

    private static final int PARTS_PER_MILLION = 1_000_000;

    /**
     * Checks the ranges.
     *
     * @throws InvalidLeaseParameterException if a value is outside its range, or the first renewal
     *     would come after the grant's end
     */
    public LeaseParameters {
        check("termNanos", termNanos, 1, MAX_NANOS);
        check("maxPauseNanos", maxPauseNanos, 0, MAX_NANOS);
        check("maxOperationNanos", maxOperationNanos, 0, MAX_NANOS);
        check("clockGuardNanos", clockGuardNanos, 0, termNanos);
        check("driftPpm", driftPpm, 0, PARTS_PER_MILLION - 1);
        long grantNanos = minusDrift(termNanos, driftPpm) - clockGuardNanos;
        check("renewalIntervalNanos", renewalIntervalNanos, 1, grantNanos - 1);
    }

    /** For a resource that rejects older fencing tokens: safe whatever clocks do. */
    public static LeaseParameters fenced(
            long termNanos, int driftPpm, long clockGuardNanos, long renewalIntervalNanos) {
        return new LeaseParameters(
                termNanos, driftPpm, clockGuardNanos, renewalIntervalNanos, 0, 0, true);
    }

    /** For a resource that rejects nothing: safe as long as the assumptions hold. */
    public static LeaseParameters timed(
            long termNanos,
            int driftPpm,
            long clockGuardNanos,
            long renewalIntervalNanos,
            long maxPauseNanos,
            long maxOperationNanos) {
        return new LeaseParameters(
                termNanos,
                driftPpm,
                clockGuardNanos,
                renewalIntervalNanos,
                maxPauseNanos,
                maxOperationNanos,
                false);
    }

    /**
     * How long a grant lasts by the holder's clock, from before the request that the store has
     * answered: the term, shortened by drift and guard.
     */
    public long grantNanos() {
        return minusDrift(termNanos, driftPpm) - clockGuardNanos;
    }

    /**
     * How long a record of that term must stay unchanged, by the clock of who waits, before it is
     * taken over: the term, lengthened by drift and guard.
     */
    public long takeOverDelayNanos(long recordTermNanos) {
        return plusDrift(Math.max(0, Math.min(recordTermNanos, MAX_NANOS))) + clockGuardNanos;
    }

    /** How long operations of a holder that has lost the lease may still run, by any clock. */
    public long gracePeriodNanos() {
        return fenced ? 0 : plusDrift(maxPauseNanos + maxOperationNanos);
    }

    private static void check(String parameter, long value, long min, long max) {
        if (value < min || value > max) {
            throw new InvalidLeaseParameterException(parameter, value, min, max);
        }
    }

    private static long minusDrift(long nanos, int driftPpm) {
        return nanos - drift(nanos, driftPpm);
    }

    private long plusDrift(long nanos) {
        return nanos + drift(nanos, driftPpm);
    }

    /** Rounded up. Whole millions are multiplied apart from the rest, so that nothing overflows. */
    private static long drift(long nanos, int driftPpm) {
        return nanos / PARTS_PER_MILLION * driftPpm
                + (nanos % PARTS_PER_MILLION * driftPpm + PARTS_PER_MILLION - 1)
                        / PARTS_PER_MILLION;
    }
}
