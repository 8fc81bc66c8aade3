/**
 * The endpoint list from ephemeral nodes of a coordination service, alone or merged with the
 * registry's: when a change counts as notified, when the list is stale, and which source is
 * believed where they disagree. Pure logic on one thread; what talks to the service stands beside
 * it in {@code zookeeper}.
 */
package appleridge.discovery.ephemeral;
