package appleridge.loadbalancing;

/**
 * The actions that the embedder of a policy supports. A policy never calls an unsupported action.
 * {@link SymmetricRoundRobinPolicy} uses neither active health checks nor hedged requests.
 *
 * @param cancellation whether {@link PolicyActions#cancelAttempt} is supported
 * @param healthChecks whether {@link PolicyActions#sendHealthCheck} is supported
 * @param gossip whether {@link PolicyActions#sendGossip} is supported
 * @param hedging whether a further attempt may be sent while one is outstanding
 * @param retryAfter whether {@link PolicyActions#reject} may carry a Retry-After time
 * @param maxAttempts most attempts per request, including the first; 1 or more
 * @param maxRetryAfterNanos longest Retry-After time of a rejection; 0 or more
 * @param connectTimeoutNanos time after which a connect counts as failed; 0 or more
 */
public record Capabilities(
        boolean cancellation,
        boolean healthChecks,
        boolean gossip,
        boolean hedging,
        boolean retryAfter,
        int maxAttempts,
        long maxRetryAfterNanos,
        long connectTimeoutNanos) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names the component
     */
    public Capabilities {
        Preconditions.require(maxAttempts >= 1, "maxAttempts", maxAttempts, "1 or more");
        Preconditions.requireNotNegative(maxRetryAfterNanos, "maxRetryAfterNanos");
        Preconditions.requireNotNegative(connectTimeoutNanos, "connectTimeoutNanos");
    }

    /**
     * Returns the Retry-After time that a rejection may carry in place of the one wanted; 0 if it
     * may carry none.
     */
    public long allowedRetryAfterNanos(long wantedNanos) {
        return retryAfter ? Math.min(wantedNanos, maxRetryAfterNanos) : 0;
    }
}
