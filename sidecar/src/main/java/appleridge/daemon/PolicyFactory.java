package appleridge.daemon;

import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;

/** Makes load-balancing policies. */
public interface PolicyFactory {
    /**
     * Makes one.
     *
     * @param seed its only source of randomness
     * @param actions what it acts through
     */
    LoadBalancingPolicy create(PolicySettings settings, long seed, PolicyActions actions);
}
