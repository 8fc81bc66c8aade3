package appleridge.discovery;

import appleridge.request.EndpointSubscription;
import java.net.InetSocketAddress;
import java.util.List;

/** Where one sidecar's list comes from; made with the {@link DiscoveryListener} that it tells. */
public interface EndpointDiscovery extends EndpointSubscription {
    /** The list as known before anything is asked; called once, first. */
    List<DiscoveredEndpoint> start();

    /** Follows another registry from now on, where it follows one. */
    void switchRegistry(InetSocketAddress registry);

    /** Ends all that is open. */
    void close();
}
