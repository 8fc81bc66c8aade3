package appleridge.discovery.ephemeral;

import appleridge.loadbalancing.HostState;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * What a node says of its server.
 *
 * @param zone its place among the settings' zones, and so {@code kind} and {@code cell}
 * @param state {@link LeaseState#READY} or {@link LeaseState#DRAINING}
 * @param weight its registered size
 * @param startedMillis Unix time in milliseconds at which its process started; 0 where the node has
 *     none
 * @param uid its id in all sources; null: the node's name
 */
public record NodeData(
        InetSocketAddress address,
        int zone,
        int kind,
        int cell,
        HostState state,
        float weight,
        long startedMillis,
        String uid) {
    public NodeData {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(state, "state");
    }
}
