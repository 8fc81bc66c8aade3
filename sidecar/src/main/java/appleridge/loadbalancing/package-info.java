/**
 * The decisions of a client-side load balancer, without input, output or threads of their own.
 *
 * <p>{@link appleridge.loadbalancing.LoadBalancingPolicy} is the interface to the host: events in,
 * {@link appleridge.loadbalancing.PolicyActions} out. {@link
 * appleridge.loadbalancing.SymmetricRoundRobinPolicy} composes the rules, each of them a
 * package-private class. Where to look:
 *
 * <ul>
 *   <li>a request is shed for overload, rejected or queued: {@code AdmissionController}, {@code
 *       LoadShedder}
 *   <li>a retry is refused: {@code RetryPolicy}, {@code RetryBudget}
 *   <li>a host is passed over: {@code HostGates} and the rules behind it
 * </ul>
 */
package appleridge.loadbalancing;
