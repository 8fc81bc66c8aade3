package appleridge.loadbalancing;

/**
 * What the host allows; a disallowed action is never asked for. {@link SymmetricRoundRobinPolicy}
 * makes no use of probes or parallel tries: no run has shown that they pay.
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
    public Capabilities {
        Preconditions.require(maxAttempts >= 1, "try limit");
        Preconditions.require(
                maxRetryAfterNanos >= 0 && connectTimeoutNanos >= 0,
                "retry-after and connect time-out");
    }
}
