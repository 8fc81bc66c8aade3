package appleridge.daemon;

import appleridge.loadbalancing.Balancer;
import appleridge.loadbalancing.Balancer.Actions;
import appleridge.loadbalancing.Balancer.Settings;

/** Makes decision modules. */
public interface ModuleFactory {
    /** One for a service, with its only source of chance and what it acts through. */
    Balancer make(Settings settings, long seed, Actions actions);
}
