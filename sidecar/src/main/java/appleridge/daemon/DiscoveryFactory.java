package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.registry.EndpointListParser;
import appleridge.discovery.registry.PollPolicy;
import appleridge.discovery.registry.RegistryDiscovery;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;

/** Creates the source of a sidecar's endpoint list. */
public interface DiscoveryFactory {
    /**
     * Creates the source. Event loop only.
     *
     * @param listener notified of updates after {@link EndpointDiscovery#start} has returned
     */
    EndpointDiscovery create(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            DiscoveryListener listener);

    /** Creates a source that polls the platform's registry. */
    static EndpointDiscovery registry(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            DiscoveryListener listener) {
        return new RegistryDiscovery(
                loop,
                sockets,
                config.registryAddress(),
                config.cachedEndpoints(),
                new EndpointListParser(config.zones(), config.machineTypes()),
                listener,
                config.pollsLocalAgent()
                        ? PollPolicy.AGENT
                        : PollPolicy.sharedService(
                                config.settings().safetyLimits().pollIntervalNanos()),
                config.settings().safetyLimits().drainGraceNanos());
    }
}
