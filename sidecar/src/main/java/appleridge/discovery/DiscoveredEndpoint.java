package appleridge.discovery;

import appleridge.loadbalancing.HostState;
import java.net.InetSocketAddress;

/**
 * An upstream host as a source of the list has it.
 *
 * @param id the same at every sidecar, over restarts of the host's process, and in all sources
 * @param zone position of its zone among the configured ones
 * @param kind position of its machine type among the configured ones
 * @param cell number of its cell
 * @param weight its registered size
 * @param startedAtUnixMillis Unix time in milliseconds at which it last started; 0 for long ago
 */
public record DiscoveredEndpoint(
        String id,
        InetSocketAddress address,
        int zone,
        int kind,
        int cell,
        HostState state,
        float weight,
        long startedAtUnixMillis) {
    /** The same in another state. */
    public DiscoveredEndpoint withState(HostState other) {
        return new DiscoveredEndpoint(
                id, address, zone, kind, cell, other, weight, startedAtUnixMillis);
    }
}
