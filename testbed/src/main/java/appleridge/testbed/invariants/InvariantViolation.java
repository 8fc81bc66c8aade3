package appleridge.testbed.invariants;

/**
 * A rule that broke.
 *
 * @param at the moment, in nanoseconds from the start of the day
 * @param subject the request, client, server or sidecar concerned
 * @param what what was seen
 */
public record InvariantViolation(Rule rule, long at, String subject, String what) {
    @Override
    public String toString() {
        return rule + " at " + TimeSpans.text(at) + " " + subject + ": " + what;
    }
}
