package appleridge.loadbalancing;

/**
 * The limits that no decision of a policy may exceed. Times in nanoseconds.
 *
 * @param answerSlackNanos time after its deadline within which a request must be answered; 0 or
 *     more
 * @param pollIntervalNanos longest time between two polls of discovery; 0 or more
 * @param drainGraceNanos time after the update that a host is draining within which no more
 *     attempts may be sent to it; 0 or more
 * @param slowStartMinFraction fraction of its capacity that a host has at its start; above 0, at
 *     most 1
 * @param slowStartWindowNanos time after its start at which a host reaches its full capacity; 0 or
 *     more
 * @param overloadFactor multiple of its present capacity that overloads a warming host; 1 or more
 * @param overloadWindowNanos time for which that load has to last to overload the host; 0 or more
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
     * @throws IllegalArgumentException if a value is out of range; the message names the component
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
