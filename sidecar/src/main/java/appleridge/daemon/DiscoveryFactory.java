package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.registry.EndpointListParser;
import appleridge.discovery.registry.PollPolicy;
import appleridge.discovery.registry.RegistryDiscovery;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;

/** Makes the source of a sidecar's endpoint list. */
public interface DiscoveryFactory {
    /**
     * Event loop only.
     *
     * @param sink notified of updates once {@link EndpointDiscovery#start} has returned
     */
    EndpointDiscovery create(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            DiscoveryListener sink);

    /** The platform's registry. */
    static EndpointDiscovery registry(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            DiscoveryListener sink) {
        return new RegistryDiscovery(
                loop,
                sockets,
                config.registryAddress(),
                config.cachedEndpoints(),
                new EndpointListParser(config.zones(), config.machineTypes()),
                sink,
                config.pollsLocalAgent()
                        ? PollPolicy.AGENT
                        : PollPolicy.sharedService(
                                config.settings().safetyLimits().pollIntervalNanos()));
    }
}
