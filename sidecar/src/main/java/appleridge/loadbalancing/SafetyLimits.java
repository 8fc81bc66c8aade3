package appleridge.loadbalancing;

/** The numbers behind the four rules; times in nanoseconds. */
public record SafetyLimits(
        long answerSlackNanos,
        long pollIntervalNanos,
        long drainGraceNanos,
        double slowStartMinFraction,
        long slowStartWindowNanos,
        double overloadFactor,
        long overloadWindowNanos) {
    public SafetyLimits {
        Preconditions.require(
                answerSlackNanos >= 0 && pollIntervalNanos >= 0 && drainGraceNanos >= 0,
                "rule times");
        Preconditions.require(slowStartMinFraction > 0 && slowStartMinFraction <= 1, "cold share");
        Preconditions.require(
                slowStartWindowNanos >= 0 && overloadWindowNanos >= 0, "ramp and tip times");
        Preconditions.require(overloadFactor >= 1, "overload factor");
    }
}
