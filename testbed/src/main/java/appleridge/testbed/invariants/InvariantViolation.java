package appleridge.testbed.invariants;

/**
 * A violated invariant.
 *
 * @param at the time, in nanoseconds from the start of the day
 * @param subject the request, client, server or sidecar concerned
 * @param what what was observed
 */
public record InvariantViolation(Rule rule, long at, String subject, String what) {
    @Override
    public String toString() {
        return rule + " at " + TimeSpans.text(at) + " " + subject + ": " + what;
    }
}
