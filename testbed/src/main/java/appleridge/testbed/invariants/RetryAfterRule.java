package appleridge.testbed.invariants;

/**
 * Only a refusal says when to come again, only where the settings allow it, and never later than
 * they do.
 */
final class RetryAfterRule implements DayListener {
    private final InvariantBounds bounds;
    private final Findings findings;

    RetryAfterRule(InvariantBounds bounds, Findings findings) {
        this.bounds = bounds;
        this.findings = findings;
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        if (retryAfterNanos < 0) {
            return;
        }
        if (status != 429 && status != 503) {
            findings.add(Rule.RETRY_AFTER, id, "an answer " + status + " says when to come again");
        } else if (retryAfterNanos > bounds.maxRetryAfter()) {
            findings.add(
                    Rule.RETRY_AFTER,
                    id,
                    "come again after "
                            + TimeSpans.text(retryAfterNanos)
                            + ", allowed are "
                            + TimeSpans.text(bounds.maxRetryAfter()));
        }
    }
}
