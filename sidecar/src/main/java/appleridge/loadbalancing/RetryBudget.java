package appleridge.loadbalancing;

/**
 * Token bucket that bounds the extra work of retries: one retry for every five requests that
 * arrive, and a burst of at most {@value #MAX_TOKENS}.
 */
final class RetryBudget {
    /** Retries earned by one arriving request, whether or not it is admitted. */
    private static final double TOKENS_PER_REQUEST = 0.2;

    private static final double MAX_TOKENS = 20;

    /**
     * One, so that a fleet whose sidecars start together does not begin with a burst of retries.
     */
    private static final double INITIAL_TOKENS = 1;

    private double tokens = INITIAL_TOKENS;

    void onRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /**
     * Takes one retry from the budget; returns false and takes nothing if the budget is exhausted.
     */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
