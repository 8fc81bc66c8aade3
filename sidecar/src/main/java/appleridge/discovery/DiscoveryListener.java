package appleridge.discovery;

import appleridge.loadbalancing.UpdateKind;
import java.util.List;

/** Receives the updates of an {@link EndpointDiscovery}, on the event loop. */
public interface DiscoveryListener {
    /**
     * Called with each update of the endpoint list, and with each failure to fetch one.
     *
     * @param kind whether {@code members} is a snapshot or a delta
     * @param members the endpoints; empty with {@link UpdateKind#FAILURE}
     */
    void onUpdate(UpdateKind kind, List<DiscoveredEndpoint> members);
}
