/**
 * The decisions of a client-side load balancer, without I/O or threads of its own.
 *
 * <p>{@link appleridge.loadbalancing.LoadBalancingPolicy} receives events from the embedder, and
 * {@link appleridge.loadbalancing.PolicyActions} are its actions. {@link
 * appleridge.loadbalancing.SymmetricRoundRobinPolicy} composes the rules, each of which is a
 * package-private class. Where to look when:
 *
 * <ul>
 *   <li>a request is shed for overload, rejected or queued: {@code AdmissionController}, {@code
 *       LoadShedder}
 *   <li>a retry is refused: {@code RetryPolicy}, {@code RetryBudget}
 *   <li>a host gets no requests: {@code HostGates} and the rules that it calls
 * </ul>
 */
package appleridge.loadbalancing;
