/**
 * Reads upstream hosts from ephemeral nodes in ZooKeeper. {@link
 * appleridge.discovery.zookeeper.ZooKeeperDiscovery} opens handles, one at a time, on a thread of
 * its own. A subtree watcher reads through the handle on its event thread, and a mailbox passes the
 * results to the event loop. Package {@code ephemeral} builds the endpoint list from them.
 */
package appleridge.discovery.zookeeper;
