package appleridge.loadbalancing;

/**
 * A tenant: its part of the service and the rate, over all sidecars, up to which its work has full
 * worth.
 */
public record Tenant(double fairShare, double quotaPerSecond) {
    public Tenant {
        Preconditions.require(fairShare >= 0 && quotaPerSecond >= 0, "tenant portion and quota");
    }
}
