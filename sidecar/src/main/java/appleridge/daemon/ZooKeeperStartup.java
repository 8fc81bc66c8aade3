package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.discovery.zookeeper.NodeJsonParser;
import appleridge.discovery.zookeeper.ZooKeeperDiscovery;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;

/** The list from nodes in ZooKeeper. Loaded only where the operator's file asks for it. */
final class ZooKeeperStartup {
    /**
     * Keeps this seed's random draws apart from the load-balancing policy's, which has the same
     * seed.
     */
    private static final long OWN_CHANCE = 0x6e6f646573L;

    private ZooKeeperStartup() {}

    /** Makes sources with these settings. */
    static DiscoveryFactory with(SourceSelection merge, ZooKeeperSettings settings) {
        return (loop, sockets, config, sink) -> make(merge, settings, loop, sockets, config, sink);
    }

    private static EndpointDiscovery make(
            SourceSelection merge,
            ZooKeeperSettings settings,
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            DiscoveryListener sink) {
        long seed = config.seed() ^ OWN_CHANCE;
        return new NodeDiscoveryAdapter(
                loop,
                merge,
                NodeDiscovery.Settings.DEFAULTS,
                config.settings().safetyLimits().pollIntervalNanos(),
                seed,
                sink,
                listener -> DiscoveryFactory.registry(loop, sockets, config, listener),
                membership ->
                        new Client(
                                new ZooKeeperDiscovery(
                                        loop,
                                        settings,
                                        membership,
                                        new NodeJsonParser(config.zones(), config.machineTypes()),
                                        seed + 1)));
    }

    private record Client(ZooKeeperDiscovery source) implements NodeDiscoveryAdapter.Client {
        @Override
        public void start() {
            source.start();
        }

        @Override
        public void catchUp() {
            source.deliverPending();
        }

        @Override
        public void confirm(Runnable heard) {
            source.confirm(heard);
        }

        @Override
        public void close() {
            source.close();
        }
    }
}
