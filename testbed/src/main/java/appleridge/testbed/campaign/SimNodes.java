package appleridge.testbed.campaign;

import appleridge.config.SidecarConfig;
import appleridge.daemon.DiscoveryFactory;
import appleridge.daemon.NodeDiscoveryAdapter;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.testbed.simulation.Ensemble;
import appleridge.testbed.simulation.EnsembleClient;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;

/**
 * The product's list from nodes, with the simulated world's coordination service in ZooKeeper's
 * place.
 */
record SimNodes(Ensemble ensemble, String sidecar) implements DiscoveryFactory {
    private record ProcessContext(SidecarEventLoop loop, NodeDiscovery membership)
            implements EnsembleClient.ProcessContext {
        @Override
        public void execute(Runnable what) {
            loop.execute(what);
        }

        @Override
        public long now() {
            return loop.nanoTime();
        }
    }

    private record Client(EnsembleClient client) implements NodeDiscoveryAdapter.Client {
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
    public EndpointDiscovery create(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            DiscoveryListener sink) {
        return new NodeDiscoveryAdapter(
                loop,
                ensemble.isBoth() ? SourceSelection.BOTH : SourceSelection.NODES,
                NodeDiscovery.Settings.DEFAULTS,
                config.settings().safetyLimits().pollIntervalNanos(),
                config.seed(),
                sink,
                told -> DiscoveryFactory.registry(loop, sockets, config, told),
                membership ->
                        new Client(ensemble.client(sidecar, new ProcessContext(loop, membership))));
    }
}
