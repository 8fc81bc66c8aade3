/**
 * Decisions of a client-side load balancer: {@link appleridge.loadbalancing.LoadBalancingPolicy} is
 * the interface.
 */
package appleridge.loadbalancing;
