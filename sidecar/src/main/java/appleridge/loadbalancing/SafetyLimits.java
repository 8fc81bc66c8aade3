package appleridge.loadbalancing;

/**
 * The limits that no decision may exceed. Times in nanoseconds.
 *
 * @param answerSlackNanos a final answer may come this much after the deadline; 0 or more
 * @param pollIntervalNanos discovery is polled at least this often; 0 or more
 * @param drainGraceNanos after the update that a host drains, sends to it must stop within this
 *     time; 0 or more
 * @param slowStartMinFraction part of its capacity that a host has at its start; above 0, at most 1
 * @param slowStartWindowNanos time in which a started host reaches its capacity; 0 or more
 * @param overloadFactor multiple of its present capacity that overloads a warming host; 1 or more
 * @param overloadWindowNanos for how long it has to last to overload the host; 0 or more
 */
public record SafetyLimits(
        long answerSlackNanos,
        long pollIntervalNanos,
        long drainGraceNanos,
        double slowStartMinFraction,
        long slowStartWindowNanos,
        double overloadFactor,
        long overloadWindowNanos) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the component that is out of range
     */
    public SafetyLimits {
        Preconditions.requireNotNegative(answerSlackNanos, "answerSlackNanos");
        Preconditions.requireNotNegative(pollIntervalNanos, "pollIntervalNanos");
        Preconditions.requireNotNegative(drainGraceNanos, "drainGraceNanos");
        Preconditions.require(
                slowStartMinFraction > 0 && slowStartMinFraction <= 1,
                "slowStartMinFraction",
                slowStartMinFraction,
                "above 0 and at most 1");
        Preconditions.requireNotNegative(slowStartWindowNanos, "slowStartWindowNanos");
        Preconditions.require(overloadFactor >= 1, "overloadFactor", overloadFactor, "1 or more");
        Preconditions.requireNotNegative(overloadWindowNanos, "overloadWindowNanos");
    }
}
