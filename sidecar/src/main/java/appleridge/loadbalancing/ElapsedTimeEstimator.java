package appleridge.loadbalancing;

/**
 * How long a client has been waiting before its request came here, which no header says. First
 * attempts of a class all have the same remaining time, the commonest one; a request with any other
 * is taken for a client's retry, which has spent the difference to the class's deadline.
 */
final class ElapsedTimeEstimator {
    /** So many that a spell of many retries does not at once displace the first attempts' value. */
    private static final int MAX_VOTES = 1000;

    /** Votes for a matching value; a differing one takes one away: two of three have to differ. */
    private static final int VOTES_PER_MATCH = 2;

    private final PolicySettings settings;
    private final long[] firstAttemptRemainingNanos;
    private final int[] votes;

    ElapsedTimeEstimator(PolicySettings settings) {
        this.settings = settings;
        this.firstAttemptRemainingNanos = new long[settings.classes().size()];
        this.votes = new int[settings.classes().size()];
    }

    /** Nanoseconds since the client's first attempt; 0 for a first attempt. Learns from it. */
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
