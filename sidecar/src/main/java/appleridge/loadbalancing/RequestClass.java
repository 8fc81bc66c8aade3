package appleridge.loadbalancing;

/**
 * A class of requests with the same latency objective, deadline, priority and retry safety. Times
 * in nanoseconds.
 *
 * @param latencyObjectiveNanos an answer within this time has its full value; more than 0
 * @param objectiveStretch the objective grows by this multiple of the request's cost hint, up to
 *     the deadline
 * @param deadlineNanos the longest time that a client waits, over all its attempts; no shorter than
 *     the objective
 * @param priorityWeight value of an answer relative to other classes; finite, 0 or more
 * @param lateValueFraction fraction of the value that an answer between objective and deadline
 *     keeps
 * @param deduplicationScope the hosts that share idempotency keys; not null for {@link
 *     Idempotency#IDEMPOTENT_BY_KEY}
 * @param idempotencyKeyTtlNanos how long hosts know a key, from the first send that may have
 *     executed; 0 or more for {@link Idempotency#IDEMPOTENT_BY_KEY}
 * @param streaming whether responses are streamed; {@link LoadBalancingPolicy#onResponseStarted}
 *     then reports their start
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
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names the component
     */
    public RequestClass {
        Preconditions.require(
                latencyObjectiveNanos > 0,
                "latencyObjectiveNanos",
                latencyObjectiveNanos,
                "more than 0");
        Preconditions.require(
                deadlineNanos >= latencyObjectiveNanos,
                "deadlineNanos",
                deadlineNanos,
                "at least latencyObjectiveNanos, " + latencyObjectiveNanos);
        Preconditions.require(
                priorityWeight >= 0 && Double.isFinite(priorityWeight),
                "priorityWeight",
                priorityWeight,
                "finite and 0 or more");
        if (idempotency == Idempotency.IDEMPOTENT_BY_KEY) {
            Preconditions.requireNotNegative(idempotencyKeyTtlNanos, "idempotencyKeyTtlNanos");
            Preconditions.require(
                    deduplicationScope != null, "deduplicationScope", null, "ALL, ZONE or CELL");
        }
    }
}
