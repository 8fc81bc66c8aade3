package appleridge.discovery;

import appleridge.loadbalancing.HostState;
import java.net.InetSocketAddress;

/**
 * An upstream host as a discovery source lists it.
 *
 * @param id identifies the host at every sidecar, across restarts of its process, and in all
 *     sources
 * @param address where it listens
 * @param zone position of its zone among the configured ones
 * @param kind position of its machine type among the configured ones
 * @param cell number of its cell
 * @param state whether it is ready, draining or gone
 * @param weight its registered capacity
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
    /** Returns a copy with another state. */
    public DiscoveredEndpoint withState(HostState other) {
        return new DiscoveredEndpoint(
                id, address, zone, kind, cell, other, weight, startedAtUnixMillis);
    }
}
