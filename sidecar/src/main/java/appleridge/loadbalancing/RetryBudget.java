package appleridge.loadbalancing;

/** Bounds the extra work of retries to a fifth of that of first attempts, and a short burst. */
final class RetryBudget {
    /** Retries that one first attempt pays for. */
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.2;

    private static final double MAX_TOKENS = 20;

    /** A single retry: many sidecars start together. */
    private static final double INITIAL_TOKENS = 1;

    private double tokens = INITIAL_TOKENS;

    void onFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }

    /** Takes one retry off the budget; false, with nothing taken, where it is exhausted. */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
