package appleridge.daemon;

import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;

/** Makes decision modules. */
public interface PolicyFactory {
    /** One for a service, with its only source of chance and what it acts through. */
    LoadBalancingPolicy make(PolicySettings settings, long seed, PolicyActions actions);
}
