/**
 * Where the endpoint list comes from, and what it is to the load-balancing policy. {@link
 * appleridge.discovery.EndpointDiscovery} is the seam; its implementations stand in packages below:
 * {@code registry} polls the platform's registry, {@code zookeeper} and {@code ephemeral} follow
 * ephemeral nodes, {@code registration} keeps such a node for a server. Everything runs on the
 * event loop but for the ZooKeeper client's own threads.
 */
package appleridge.discovery;
