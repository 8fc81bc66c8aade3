package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.ephemeral.NodeData;
import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SystemLog;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Discovery from ephemeral nodes and the registry combined, on an event loop whose clock only the
 * test advances.
 */
class NodeDiscoveryAdapterTest {
    private static final long POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final SidecarEventLoop loop =
            new SidecarEventLoop(
                    channel.eventLoop(),
                    () -> 1_700_000_000_000L,
                    new SystemLog(() -> 0, System.Logger.Level.DEBUG));
    private final List<UpdateKind> updateKinds = new ArrayList<>();
    private final List<DiscoveredEndpoint> endpoints = new ArrayList<>();
    private final Registry registry = new Registry();
    private final Client client = new Client();
    private NodeDiscoveryAdapter adapter;

    private static final class Registry implements EndpointDiscovery {
        private DiscoveryListener listener;
        private int polls;
        private boolean closed;

        @Override
        public List<DiscoveredEndpoint> start() {
            return List.of(endpoint("known", 1));
        }

        @Override
        public void subscribe(boolean on) {
            polls++;
        }

        @Override
        public void fetchEndpoints() {
            polls++;
        }

        @Override
        public void readPendingUpdates(long stalledSinceNanos) {}

        @Override
        public void switchRegistry(InetSocketAddress other) {}

        @Override
        public void close() {
            closed = true;
        }
    }

    private static final class Client implements NodeDiscoveryAdapter.Client {
        private NodeDiscovery membership;
        private boolean started;
        private boolean closed;
        private Runnable pendingUpdates = () -> {};
        private Runnable confirmation = () -> {};

        @Override
        public void start() {
            started = true;
        }

        @Override
        public void catchUp() {
            pendingUpdates.run();
        }

        @Override
        public void confirm(Runnable then) {
            confirmation = then;
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    private static DiscoveredEndpoint endpoint(String id, int port) {
        return new DiscoveredEndpoint(
                id,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                0,
                0,
                0,
                HostState.READY,
                1,
                5);
    }

    private static NodeRead node(int port) {
        DiscoveredEndpoint endpoint = endpoint("", port);
        return new NodeRead(
                new NodeData(endpoint.address(), 0, 0, 0, HostState.READY, 1, 5, null),
                null,
                5,
                1,
                1);
    }

    private void start(SourceSelection sources) {
        channel.freezeTime();
        adapter =
                new NodeDiscoveryAdapter(
                        loop,
                        sources,
                        NodeDiscovery.Settings.DEFAULTS,
                        POLL_INTERVAL_NANOS,
                        7,
                        (kind, discovered) -> {
                            updateKinds.add(kind);
                            endpoints.addAll(discovered);
                        },
                        listener -> {
                            registry.listener = listener;
                            return registry;
                        },
                        membership -> {
                            client.membership = membership;
                            return client;
                        });
        assertEquals(List.of(endpoint("known", 1)), adapter.start());
        assertTrue(
                updateKinds.isEmpty(),
                "the initial list is returned, not delivered to the listener");
        assertTrue(client.started);
        adapter.subscribe(true);
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i += 100) {
            channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    private void connect(int port) {
        client.membership.onSessionState(loop.nanoTime(), SessionState.CONNECTED);
        client.membership.onSnapshot(loop.nanoTime(), loop.nanoTime(), 1, Map.of("n", node(port)));
    }

    @Test
    void withNodesAloneTheRegistryIsNotPolled() {
        start(SourceSelection.NODES);
        assertEquals(0, registry.polls);
        connect(2);
        assertEquals(List.of(UpdateKind.SNAPSHOT), updateKinds);
        assertEquals(List.of("n"), endpoints.stream().map(DiscoveredEndpoint::id).toList());
        adapter.close();
        assertTrue(client.closed && registry.closed);
        advance(1000);
        assertEquals(0, channel.runScheduledPendingTasks() + 1, "no timer is left");
    }

    /**
     * Guards against a failed registry that is not polled again because updates from the nodes look
     * like a success.
     */
    @Test
    void failedRegistryIsPolledAgainDespiteNodeUpdates() {
        start(SourceSelection.BOTH);
        assertEquals(1, registry.polls);
        connect(2);
        registry.listener.onUpdate(UpdateKind.FAILURE, List.of());
        assertFalse(
                updateKinds.contains(UpdateKind.FAILURE),
                "the load-balancing policy would start its own polling");
        advance(400);
        assertEquals(2, registry.polls);
        registry.listener.onUpdate(UpdateKind.FAILURE, List.of());
        advance(600);
        assertEquals(3, registry.polls);
        registry.listener.onUpdate(UpdateKind.FAILURE, List.of());
        registry.listener.onUpdate(UpdateKind.DELTA, List.of());
        advance(30_000);
        assertEquals(3, registry.polls);
    }

    /**
     * After a stall the nodes may have changes that have not been read. Guards against requests
     * that are routed by the registry's updates before the ZooKeeper client has confirmed the
     * nodes'.
     */
    @Test
    void afterAStallItIsCaughtUpOnceTheClientHasConfirmed() {
        start(SourceSelection.BOTH);
        connect(2);
        client.pendingUpdates =
                () -> client.membership.onNodeDeleted(loop.nanoTime(), loop.nanoTime(), 2, "n");
        advance(1000);
        adapter.readPendingUpdates(loop.nanoTime());
        assertEquals(
                HostState.DRAINING,
                endpoints.get(endpoints.size() - 1).state(),
                "delivered at once");
        assertFalse(adapter.isCaughtUp());
        Runnable first = client.confirmation;
        adapter.readPendingUpdates(loop.nanoTime());
        first.run();
        assertFalse(adapter.isCaughtUp(), "this confirms an earlier request");
        client.confirmation.run();
        assertTrue(adapter.isCaughtUp());
        assertEquals(UpdateKind.DELTA, updateKinds.get(updateKinds.size() - 1));
    }
}
