/**
 * Decisions of a client-side load balancer: {@link appleridge.decision.Balancer} is the interface.
 */
package appleridge.decision;
