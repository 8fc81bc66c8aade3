/**
 * The list of upstreams from ephemeral nodes of a coordination service, alone or merged with the
 * registry's: what counts as told, what is in doubt, and which source is believed where they
 * disagree. Pure; what talks to the service stands beside it.
 */
package appleridge.discovery.ephemeral;
