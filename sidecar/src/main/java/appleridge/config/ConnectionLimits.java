package appleridge.config;

/**
 * What the platform and the upstream hosts set a bound to.
 *
 * @param maxDescriptors file descriptors that the process may hold
 * @param maxOpenRequests requests that may be open at once
 * @param upstreamIdleTimeoutNanos nanoseconds after which an upstream host closes an idle
 *     connection
 */
public record ConnectionLimits(
        int maxDescriptors, int maxOpenRequests, long upstreamIdleTimeoutNanos) {}
