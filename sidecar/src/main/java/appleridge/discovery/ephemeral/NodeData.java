package appleridge.discovery.ephemeral;

import appleridge.loadbalancing.HostState;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The data of a server's node, parsed.
 *
 * @param address where the server listens; never null
 * @param zone position of its zone among the configured ones
 * @param kind position of its machine type among the configured ones
 * @param cell number of its cell
 * @param state {@link HostState#READY} or {@link HostState#DRAINING}; never null
 * @param weight its registered capacity
 * @param startedMillis Unix time in milliseconds at which its process started; 0 if the node does
 *     not state it
 * @param uid its id in all sources; null if that is the node's name
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
