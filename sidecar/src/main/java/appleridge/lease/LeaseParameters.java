package appleridge.lease;

import java.util.concurrent.TimeUnit;

/**
 * The times on which the safety of a lease depends. All processes that compete for one lease must
 * use the same.
 *
 * @param termNanos how long a record that is not renewed keeps other processes out
 * @param driftPpm how far any clock may deviate from true time, in parts per million; two clocks
 *     may differ by twice that
 * @param clockGuardNanos the maximum age of the time that is passed with an event or with the check
 *     before an operation
 * @param renewalIntervalNanos the time from one request to the next
 * @param maxPauseNanos the assumed maximum time from the check to the start of its operation
 * @param maxOperationNanos the assumed maximum duration of an operation
 * @param fenced whether the resource rejects older fencing tokens; if not, the next holder waits
 *     for the two times above as a grace period before it starts
 */
public record LeaseParameters(
        long termNanos,
        int driftPpm,
        long clockGuardNanos,
        long renewalIntervalNanos,
        long maxPauseNanos,
        long maxOperationNanos,
        boolean fenced) {
    /** The maximum of each time, one hour: sums of times stay far from an overflow. */
    static final long MAX_NANOS = TimeUnit.HOURS.toNanos(1);

    private static final int PARTS_PER_MILLION = 1_000_000;

    /**
     * Checks the ranges.
     *
     * @throws InvalidLeaseParameterException if a value is outside its range, or the first renewal
     *     would come after the end of the grant
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

    /** For a resource that rejects older fencing tokens: safe whatever the clocks do. */
    public static LeaseParameters fenced(
            long termNanos, int driftPpm, long clockGuardNanos, long renewalIntervalNanos) {
        return new LeaseParameters(
                termNanos, driftPpm, clockGuardNanos, renewalIntervalNanos, 0, 0, true);
    }

    /** For a resource that doesn't check tokens: safe as long as the assumed times hold. */
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
     * How long a grant lasts by the holder's clock, counted from before the request that the store
     * has confirmed: the term, shortened by drift and guard.
     */
    public long grantNanos() {
        return minusDrift(termNanos, driftPpm) - clockGuardNanos;
    }

    /**
     * How long a record of that term must stay unchanged, by the waiter's clock, before it is taken
     * over: the term, lengthened by drift and guard.
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

    /**
     * The drift over a time, rounded up. Whole millions are multiplied separately, so that nothing
     * overflows.
     */
    private static long drift(long nanos, int driftPpm) {
        return nanos / PARTS_PER_MILLION * driftPpm
                + (nanos % PARTS_PER_MILLION * driftPpm + PARTS_PER_MILLION - 1)
                        / PARTS_PER_MILLION;
    }
}
