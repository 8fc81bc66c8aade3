package appleridge.testbed.invariants;

/**
 * Checks that only a refusal carries Retry-After, only if the settings allow it, and no longer than
 * they allow.
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
            findings.add(
                    Rule.RETRY_AFTER,
                    id,
                    "an answer with status " + status + " carries Retry-After");
        } else if (retryAfterNanos > bounds.maxRetryAfter()) {
            findings.add(
                    Rule.RETRY_AFTER,
                    id,
                    "Retry-After of "
                            + TimeSpans.text(retryAfterNanos)
                            + ", allowed are "
                            + TimeSpans.text(bounds.maxRetryAfter()));
        }
    }
}
