package appleridge.loadbalancing;

/**
 * A tenant of the service.
 *
 * @param fairShare its fair fraction of the service's work; 0 or more
 * @param quotaPerSecond requests per second, over all sidecars, up to which its work has full
 *     priority; 0 for no quota
 */
public record Tenant(double fairShare, double quotaPerSecond) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names the component
     */
    public Tenant {
        Preconditions.require(fairShare >= 0, "fairShare", fairShare, "0 or more");
        Preconditions.require(quotaPerSecond >= 0, "quotaPerSecond", quotaPerSecond, "0 or more");
    }
}
