package appleridge.daemon;

import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;

/** Creates load-balancing policies. */
public interface PolicyFactory {
    /**
     * Creates a policy.
     *
     * @param seed seeds the policy's only source of randomness
     * @param actions carries out the policy's decisions
     */
    LoadBalancingPolicy create(PolicySettings settings, long seed, PolicyActions actions);
}
