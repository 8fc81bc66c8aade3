/**
 * Builds the endpoint list from ephemeral nodes of a coordination service, alone or merged with the
 * registry's list. Decides when a change counts as notified, when the list is stale, and which
 * source is right where they disagree. Pure logic on one thread; the client of the service is in
 * {@code zookeeper}.
 */
package appleridge.discovery.ephemeral;
