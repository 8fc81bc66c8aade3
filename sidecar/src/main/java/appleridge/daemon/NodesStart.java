package appleridge.daemon;

import appleridge.config.Config;
import appleridge.discovery.ListSink;
import appleridge.discovery.ListSource;
import appleridge.discovery.ephemeral.Merge;
import appleridge.discovery.ephemeral.NodeMembership;
import appleridge.discovery.zookeeper.NodeJson;
import appleridge.discovery.zookeeper.ZooKeeperSettings;
import appleridge.discovery.zookeeper.ZooKeeperSource;
import appleridge.transport.Loop;
import appleridge.transport.Sockets;

/** The list from nodes in ZooKeeper. Loaded only where the operator's file asks for it. */
final class NodesStart {
    /** So that what is drawn here is not what the decision module draws from the same seed. */
    private static final long OWN_CHANCE = 0x6e6f646573L;

    private NodesStart() {}

    /** Makes sources with these settings. */
    static SourceFactory with(Merge merge, ZooKeeperSettings settings) {
        return (loop, sockets, config, sink) -> make(merge, settings, loop, sockets, config, sink);
    }

    private static ListSource make(
            Merge merge,
            ZooKeeperSettings settings,
            Loop loop,
            Sockets sockets,
            Config config,
            ListSink sink) {
        long seed = config.seed() ^ OWN_CHANCE;
        return new NodeLists(
                loop,
                merge,
                NodeMembership.Settings.USUAL,
                config.settings().limits().askWithin(),
                seed,
                sink,
                told -> SourceFactory.registry(loop, sockets, config, told),
                membership ->
                        new Client(
                                new ZooKeeperSource(
                                        loop,
                                        settings,
                                        membership,
                                        new NodeJson(config.zones(), config.kinds()),
                                        seed + 1)));
    }

    private record Client(ZooKeeperSource source) implements NodeLists.Client {
        @Override
        public void start() {
            source.start();
        }

        @Override
        public void catchUp() {
            source.tellNow();
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
