package appleridge.testbed.invariants;

import java.util.List;

/**
 * Result of a simulated day.
 *
 * @param digest digest of every event of the day with its time
 * @param violations in the order of detection
 * @param simulatedNanos length of the day
 */
public record Verdict(
        long seed,
        long digest,
        List<InvariantViolation> violations,
        Counts counts,
        Coverage coverage,
        long simulatedNanos) {
    public Verdict {
        violations = List.copyOf(violations);
    }

    /** Returns whether no rule was violated. */
    public boolean passed() {
        return violations.isEmpty();
    }

    /** Returns a line for the day, followed by one for each violation. */
    public String text() {
        StringBuilder out = new StringBuilder(200);
        out.append("seed ")
                .append(seed)
                .append(": ")
                .append(passed() ? "no rule broken" : violations.size() + " broken")
                .append(", ")
                .append(counts)
                .append(", digest ")
                .append(Long.toHexString(digest));
        for (InvariantViolation each : violations) {
            out.append("\n  ").append(each);
        }
        return out.toString();
    }
}
