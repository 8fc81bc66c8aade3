/**
 * Reads upstream hosts from ephemeral nodes in ZooKeeper. {@link
 * appleridge.discovery.zookeeper.ZooKeeperDiscovery} opens one handle after the other on a thread
 * of its own; a subtree watcher reads by the handle on its event thread, and a mailbox takes what
 * it read to the event loop. What it means for the list is decided in {@code ephemeral}.
 */
package appleridge.discovery.zookeeper;
