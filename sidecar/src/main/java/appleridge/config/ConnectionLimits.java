package appleridge.config;

/**
 * Limits set by the platform and the upstream hosts.
 *
 * @param maxDescriptors maximum number of file descriptors that the process may hold
 * @param maxOpenRequests maximum number of requests that may be open at once
 * @param upstreamIdleTimeoutNanos nanoseconds after which an upstream host closes an idle
 *     connection
 */
public record ConnectionLimits(
        int maxDescriptors, int maxOpenRequests, long upstreamIdleTimeoutNanos) {}
