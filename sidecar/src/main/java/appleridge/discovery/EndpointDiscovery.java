package appleridge.discovery;

import appleridge.request.EndpointSubscription;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The source of one sidecar's endpoint list; created with the {@link DiscoveryListener} that it
 * notifies. All methods must be called on the event loop.
 */
public interface EndpointDiscovery extends EndpointSubscription {
    /** Starts discovery and returns the cached endpoints. Must be called once, before the rest. */
    List<DiscoveredEndpoint> start();

    /** Switches to another registry; has no effect where no registry is polled. */
    void switchRegistry(InetSocketAddress registry);

    /** Closes all connections; the listener is no longer called. */
    void close();
}
