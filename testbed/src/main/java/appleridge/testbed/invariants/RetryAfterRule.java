package appleridge.testbed.invariants;

/**
 * Only a refusal says when to come again, only where the settings allow it, and never later than
 * they do.
 */
final class RetryAfterRule implements DayListener {
    private final InvariantBounds figures;
    private final Findings findings;

    RetryAfterRule(InvariantBounds figures, Findings findings) {
        this.figures = figures;
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
        } else if (retryAfterNanos > figures.maxRetryAfter()) {
            findings.add(
                    Rule.RETRY_AFTER,
                    id,
                    "come again after "
                            + TimeSpans.text(retryAfterNanos)
                            + ", allowed are "
                            + TimeSpans.text(figures.maxRetryAfter()));
        }
    }
}
