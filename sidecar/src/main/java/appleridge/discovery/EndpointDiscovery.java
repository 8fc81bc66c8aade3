package appleridge.discovery;

import appleridge.request.EndpointSubscription;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Where one sidecar's endpoint list comes from; made with the {@link DiscoveryListener} that it
 * notifies. All methods are to be called on the event loop.
 */
public interface EndpointDiscovery extends EndpointSubscription {
    /** Begins; the list as known before anything is polled. To be called once, first. */
    List<DiscoveredEndpoint> start();

    /** Follows another registry from now on; nothing where no registry is followed. */
    void switchRegistry(InetSocketAddress registry);

    /** Closes all connections; the listener is not called any more. */
    void close();
}
