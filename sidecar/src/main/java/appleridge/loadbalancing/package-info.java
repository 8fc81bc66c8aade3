/**
 * Decisions of a client-side load balancer: {@link appleridge.loadbalancing.Balancer} is the
 * interface.
 */
package appleridge.loadbalancing;
