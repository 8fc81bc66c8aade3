/**
 * The list of upstreams from ephemeral nodes in ZooKeeper, by the ZooKeeper project's own client,
 * on threads of its own. Nothing of this is loaded where the operator's file doesn't ask for it.
 */
package appleridge.discovery.zookeeper;
