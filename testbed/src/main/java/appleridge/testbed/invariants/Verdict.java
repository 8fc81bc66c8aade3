package appleridge.testbed.invariants;

import java.util.List;

/**
 * What a day comes to.
 *
 * @param digest over every event of the day with its time
 * @param violations the rules that broke, in the order of finding
 * @param simulatedNanos how long the day was
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

    /** Whether no rule broke. */
    public boolean passed() {
        return violations.isEmpty();
    }

    /** A line for the day, and one for each broken rule. */
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
