package appleridge.loadbalancing;

/**
 * A class of request; times in nanoseconds.
 *
 * @param latencyObjectiveNanos an answer within this time earns the full worth
 * @param objectiveStretch the aim grows by this many times the request's own work, up to the
 *     deadline
 * @param deadlineNanos the longest a client waits over all its tries
 * @param lateValueFraction part of the worth earned between aim and deadline
 * @param idempotencyKeyTtlNanos for BY_KEY: how long repeats are dropped, from the first send that
 *     may have run
 * @param streaming the answer streams: {@link LoadBalancingPolicy#onResponseStarted} tells of its
 *     start
 */
public record RequestClass(
        long latencyObjectiveNanos,
        double objectiveStretch,
        long deadlineNanos,
        double priorityWeight,
        double lateValueFraction,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long idempotencyKeyTtlNanos,
        boolean streaming) {
    public RequestClass {
        Preconditions.require(latencyObjectiveNanos > 0, "class aim");
        Preconditions.require(deadlineNanos >= latencyObjectiveNanos, "class deadline");
        Preconditions.require(
                priorityWeight >= 0 && Double.isFinite(priorityWeight), "class worth");
        Preconditions.require(
                idempotency != Idempotency.IDEMPOTENT_BY_KEY
                        || idempotencyKeyTtlNanos >= 0 && deduplicationScope != null,
                "class key scope and ttl");
    }
}
