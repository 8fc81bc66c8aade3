package appleridge.loadbalancing;

/**
 * The number of attempts that this sidecar may have in flight at a host, derived from response
 * times: additive increase with timely responses, multiplicative decrease with late responses and
 * rejections.
 *
 * <p>An abandoned attempt may stay in the host's queue. If it no longer counted, a full queue would
 * be refilled with work that is abandoned in its turn. Abandoned attempts therefore count until the
 * host responds to an attempt sent after them, or another latency objective has passed. The latter
 * is needed because a host whose whole limit is taken by them gets no attempt to respond to.
 */
final class HostConcurrencyLimit {
    /**
     * In attempts. Two are needed for the choice of the less busy host; more would overload hosts
     * when many sidecars start together.
     */
    private static final double INITIAL_LIMIT = 2;

    private static final double MIN_LIMIT = 0.1;
    private static final double DECREASE_FACTOR = 0.8;

    /** The limit grows by at most this fraction of itself per response, and by 1 per round trip. */
    private static final double MAX_INCREASE_FRACTION = 0.2;

    /** One host's limit and the abandoned attempts that count against it. */
    static final class Limit {
        private double limit = INITIAL_LIMIT;
        private long decreasedAt;
        private int abandoned;
        private long latestAbandonedSentAt;
        private long abandonedUntil;
    }

    private final LatencyThresholds thresholds;

    HostConcurrencyLimit(LatencyThresholds thresholds) {
        this.thresholds = thresholds;
    }

    /** Whether the host may take one more attempt; at least one is always allowed. */
    boolean hasCapacity(long now, TrackedHost host) {
        Limit state = host.concurrencyLimit;
        if (state.abandoned > 0 && now >= state.abandonedUntil) {
            state.abandoned = 0;
        }
        return host.inFlight() + state.abandoned < Math.max(1, (int) state.limit);
    }

    /** Not to be called for failed connects, which say nothing about the host's load. */
    void onAttemptEnded(long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
        Limit state = attempt.host().concurrencyLimit;
        if (outcome == Outcome.TIMEOUT || outcome == Outcome.CANCELLED) {
            state.abandoned++;
            state.latestAbandonedSentAt = Math.max(state.latestAbandonedSentAt, attempt.sentAt());
            state.abandonedUntil = now + request.objectiveNanos();
        } else if (outcome == Outcome.OK && attempt.sentAt() >= state.latestAbandonedSentAt) {
            state.abandoned = 0;
        }
        if (outcome == Outcome.REJECTED || isLate(now, request, attempt)) {
            decrease(now, state, attempt);
        } else if (outcome == Outcome.OK && attempt.othersInFlight() + 1 >= state.limit / 2) {
            state.limit += Math.min(MAX_INCREASE_FRACTION * state.limit, 1 / state.limit);
        }
    }

    /**
     * Scales the elapsed time to a request of average cost, so that the response time of costly
     * requests is not taken for overload.
     */
    private boolean isLate(long now, TrackedRequest request, TrackedAttempt attempt) {
        double elapsedNanos =
                (now - attempt.sentAt())
                        * thresholds.averageNanos(request)
                        / request.expectedNanos();
        return elapsedNanos > LatencyThresholds.LATE_OBJECTIVE_FRACTION * request.objectiveNanos();
    }

    /** Ignores attempts sent before the last decrease, which has already reacted to their load. */
    private static void decrease(long now, Limit state, TrackedAttempt attempt) {
        if (attempt.sentAt() >= state.decreasedAt) {
            state.limit = Math.max(MIN_LIMIT, state.limit * DECREASE_FACTOR);
            state.decreasedAt = now;
        }
    }
}
