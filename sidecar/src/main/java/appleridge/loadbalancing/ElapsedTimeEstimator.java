package appleridge.loadbalancing;

/**
 * Estimates how long a client has been waiting before its request arrived, which no header says.
 * The most frequent remaining time of a class, found by a majority vote, is taken for that of first
 * attempts. A request with any other is taken for a client's retry that has already spent the
 * difference between its remaining time and the class's deadline.
 */
final class ElapsedTimeEstimator {
    /**
     * Upper bound of the votes, high enough that a short series of retries does not displace the
     * value of first attempts.
     */
    private static final int MAX_VOTES = 1000;

    /**
     * Votes added by a matching value. A differing value removes one vote, so a value is displaced
     * only if more than two of three requests differ from it.
     */
    private static final int VOTES_PER_MATCH = 2;

    private final PolicySettings settings;
    private final long[] firstAttemptRemainingNanos;
    private final int[] votes;

    ElapsedTimeEstimator(PolicySettings settings) {
        this.settings = settings;
        this.firstAttemptRemainingNanos = new long[settings.classes().size()];
        this.votes = new int[settings.classes().size()];
    }

    /**
     * Returns the nanoseconds since the client's first attempt, 0 for a first attempt, and counts
     * the request's vote.
     */
    long elapsedNanos(RequestInfo info) {
        int index = info.requestClass();
        long remaining = info.remainingNanos();
        if (Math.abs(remaining - firstAttemptRemainingNanos[index])
                <= 2 * settings.clockGranularityNanos()) {
            votes[index] = Math.min(votes[index] + VOTES_PER_MATCH, MAX_VOTES);
            return 0;
        }
        if (--votes[index] < 0) {
            firstAttemptRemainingNanos[index] = remaining;
            votes[index] = 0;
            return 0;
        }
        return Math.max(0, settings.classes().get(index).deadlineNanos() - remaining);
    }
}
