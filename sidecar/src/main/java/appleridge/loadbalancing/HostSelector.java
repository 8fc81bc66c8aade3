package appleridge.loadbalancing;

/** Chooses the host of a request's next attempt. */
final class HostSelector {
    private final HostRing ring;
    private final HostRegistry registry;
    private final HostHealth health;
    private final RetryPolicy retryPolicy;

    HostSelector(HostRing ring, HostRegistry registry, HostHealth health, RetryPolicy retryPolicy) {
        this.ring = ring;
        this.registry = registry;
        this.health = health;
        this.retryPolicy = retryPolicy;
    }

    /**
     * Returns the host, or null if none may take the request now. If every ready host is ejected,
     * ejection is ignored, so that a fault common to all hosts does not leave the fleet unused.
     */
    TrackedHost select(long now, TrackedRequest request) {
        if (request.hasAttempts() && retryPolicy.decide(now, request) != RetryDecision.ALLOWED) {
            return null;
        }
        TrackedHost host = ring.pick(now, request, false);
        if (host == null && isEveryHostEjected(now)) {
            host = ring.pick(now, request, true);
        }
        return host;
    }

    private boolean isEveryHostEjected(long now) {
        return registry.ready().stream()
                .noneMatch(host -> health.eligibility(now, host) == HostEligibility.ELIGIBLE);
    }
}
