/**
 * Service discovery: fetches the endpoint list and converts it for the load-balancing policy.
 * {@link appleridge.discovery.EndpointDiscovery} is the interface of a source. Package {@code
 * registry} polls the platform's registry; {@code zookeeper} and {@code ephemeral} follow ephemeral
 * nodes; {@code registration} keeps an ephemeral node for a server. Everything runs on the event
 * loop except the ZooKeeper client's own threads and {@code registration}.
 */
package appleridge.discovery;
