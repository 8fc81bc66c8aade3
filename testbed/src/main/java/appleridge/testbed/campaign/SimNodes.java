package appleridge.testbed.campaign;

import appleridge.config.Config;
import appleridge.daemon.NodeLists;
import appleridge.daemon.SourceFactory;
import appleridge.discovery.ListSink;
import appleridge.discovery.ListSource;
import appleridge.discovery.ephemeral.Merge;
import appleridge.discovery.ephemeral.NodeMembership;
import appleridge.testbed.simulation.Ensemble;
import appleridge.testbed.simulation.EnsembleClient;
import appleridge.transport.Loop;
import appleridge.transport.Sockets;

/**
 * The product's list from nodes, with the simulated world's coordination service in ZooKeeper's
 * place.
 */
record SimNodes(Ensemble ensemble, String sidecar) implements SourceFactory {
    private record Hearer(Loop loop, NodeMembership membership) implements EnsembleClient.Hearer {
        @Override
        public void soon(Runnable what) {
            loop.soon(what);
        }

        @Override
        public long now() {
            return loop.now();
        }
    }

    private record Client(EnsembleClient client) implements NodeLists.Client {
        @Override
        public void start() {
            client.start();
        }

        @Override
        public void catchUp() {
            client.catchUp();
        }

        @Override
        public void confirm(Runnable heard) {
            client.confirm(heard);
        }

        @Override
        public void close() {
            client.close();
        }
    }

    @Override
    public ListSource make(Loop loop, Sockets sockets, Config config, ListSink sink) {
        return new NodeLists(
                loop,
                ensemble.isBoth() ? Merge.BOTH : Merge.NODES,
                NodeMembership.Settings.USUAL,
                config.settings().limits().askWithin(),
                config.seed(),
                sink,
                told -> SourceFactory.registry(loop, sockets, config, told),
                membership -> new Client(ensemble.client(sidecar, new Hearer(loop, membership))));
    }
}
