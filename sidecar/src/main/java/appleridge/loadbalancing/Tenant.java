package appleridge.loadbalancing;

/**
 * A tenant of the service.
 *
 * @param fairShare its part of the service's work; 0 or more
 * @param quotaPerSecond requests a second, over all sidecars, up to which its work has its full
 *     priority; 0 for none
 */
public record Tenant(double fairShare, double quotaPerSecond) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the component that is out of range
     */
    public Tenant {
        Preconditions.require(fairShare >= 0, "fairShare", fairShare, "0 or more");
        Preconditions.require(quotaPerSecond >= 0, "quotaPerSecond", quotaPerSecond, "0 or more");
    }
}
