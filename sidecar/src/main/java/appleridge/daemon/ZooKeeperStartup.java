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

/**
 * Creates endpoint discovery from ZooKeeper nodes. Loaded only if the operator's file has a section
 * [membership].
 */
final class ZooKeeperStartup {
    /**
     * Derives a seed of its own for discovery, because the load-balancing policy draws from the
     * configured seed.
     */
    private static final long SEED_SALT = 0x6e6f646573L;

    private ZooKeeperStartup() {}

    /** Returns a factory that creates sources with these settings. */
    static DiscoveryFactory factory(SourceSelection selection, ZooKeeperSettings settings) {
        return (loop, sockets, config, listener) ->
                create(selection, settings, loop, sockets, config, listener);
    }

    private static EndpointDiscovery create(
            SourceSelection selection,
            ZooKeeperSettings settings,
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            DiscoveryListener listener) {
        long seed = config.seed() ^ SEED_SALT;
        return new NodeDiscoveryAdapter(
                loop,
                selection,
                NodeDiscovery.Settings.DEFAULTS,
                config.settings().safetyLimits().pollIntervalNanos(),
                seed,
                listener,
                registryListener ->
                        DiscoveryFactory.registry(loop, sockets, config, registryListener),
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
        public void confirm(Runnable whenConfirmed) {
            source.confirm(whenConfirmed);
        }

        @Override
        public void close() {
            source.close();
        }
    }
}
