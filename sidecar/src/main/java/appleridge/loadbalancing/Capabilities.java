package appleridge.loadbalancing;

/**
 * What the host of a policy allows. The policy never asks for an action that is not allowed; {@link
 * SymmetricRoundRobinPolicy} uses neither active health checks nor hedged requests.
 *
 * @param cancellation {@link PolicyActions#cancelAttempt}
 * @param healthChecks {@link PolicyActions#sendHealthCheck}
 * @param gossip {@link PolicyActions#sendGossip}
 * @param hedging a further attempt while one is outstanding
 * @param retryAfter {@link PolicyActions#reject} with a wait
 * @param maxAttempts attempts per request, the first one included; 1 or more
 * @param maxRetryAfterNanos longest wait that a rejection may ask for; 0 or more
 * @param connectTimeoutNanos after which a connect counts as failed; 0 or more
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
     * @throws IllegalArgumentException naming the component that is out of range
     */
    public Capabilities {
        Preconditions.require(maxAttempts >= 1, "maxAttempts", maxAttempts, "1 or more");
        Preconditions.requireNotNegative(maxRetryAfterNanos, "maxRetryAfterNanos");
        Preconditions.requireNotNegative(connectTimeoutNanos, "connectTimeoutNanos");
    }
}
