package appleridge.loadbalancing;

/**
 * The number of attempts that this sidecar may have in flight at a host, learned from response
 * times: additive increase with answers in time, multiplicative decrease with late ones and
 * rejections.
 *
 * <p>An attempt that was given up may stay in the host's queue; a count that forgot it would refill
 * a full queue with work that is given up in its turn. Abandoned attempts therefore count until the
 * host answers something sent after them, or another latency objective has passed: a host whose
 * whole limit is taken by them gets nothing that it could answer.
 */
final class HostConcurrencyLimit {
    /** Attempts; room for the choice of the less busy, no more, since sidecars start together. */
    private static final double INITIAL_LIMIT = 2;

    private static final double MIN_LIMIT = 0.1;
    private static final double DECREASE_FACTOR = 0.8;

    /** The limit grows by at most this part of itself per answer, and by 1 per round trip. */
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
        Limit state = host.concurrency;
        if (state.abandoned > 0 && now >= state.abandonedUntil) {
            state.abandoned = 0;
        }
        return host.inFlight() + state.abandoned < Math.max(1, (int) state.limit);
    }

    /** Not for failed connects, which say nothing of the host's load. */
    void onAttemptEnded(long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
        Limit state = attempt.host().concurrency;
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

    /** Measured as an average request, so that costly ones are no sign of overload. */
    private boolean isLate(long now, TrackedRequest request, TrackedAttempt attempt) {
        double elapsedNanos =
                (now - attempt.sentAt())
                        * thresholds.averageNanos(request)
                        / request.expectedNanos();
        return elapsedNanos > LatencyThresholds.LATE_OBJECTIVE_FRACTION * request.objectiveNanos();
    }

    /** Attempts sent before the last decrease tell of the load that it has answered already. */
    private static void decrease(long now, Limit state, TrackedAttempt attempt) {
        if (attempt.sentAt() >= state.decreasedAt) {
            state.limit = Math.max(MIN_LIMIT, state.limit * DECREASE_FACTOR);
            state.decreasedAt = now;
        }
    }
}
