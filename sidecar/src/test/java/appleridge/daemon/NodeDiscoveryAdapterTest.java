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
 * Nodes and the registry as one source, on an event loop whose time stands still until it is moved.
 */
class NodeDiscoveryAdapterTest {
    private static final long ASK_WITHIN = TimeUnit.SECONDS.toNanos(10);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final SidecarEventLoop loop =
            new SidecarEventLoop(
                    channel.eventLoop(),
                    () -> 1_700_000_000_000L,
                    new SystemLog(() -> 0, System.Logger.Level.DEBUG));
    private final List<UpdateKind> kinds = new ArrayList<>();
    private final List<DiscoveredEndpoint> members = new ArrayList<>();
    private final Registry registry = new Registry();
    private final Client client = new Client();
    private NodeDiscoveryAdapter lists;

    private static final class Registry implements EndpointDiscovery {
        private DiscoveryListener sink;
        private int asked;
        private boolean closed;

        @Override
        public List<DiscoveredEndpoint> start() {
            return List.of(member("known", 1));
        }

        @Override
        public void subscribe(boolean on) {
            asked++;
        }

        @Override
        public void fetchEndpoints() {
            asked++;
        }

        @Override
        public void readPendingUpdates() {}

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
        private Runnable waiting = () -> {};
        private Runnable heard = () -> {};

        @Override
        public void start() {
            started = true;
        }

        @Override
        public void catchUp() {
            waiting.run();
        }

        @Override
        public void confirm(Runnable then) {
            heard = then;
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    private static DiscoveredEndpoint member(String id, int port) {
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
        DiscoveredEndpoint as = member("", port);
        return new NodeRead(
                new NodeData(as.address(), 0, 0, 0, HostState.READY, 1, 5, null), null, 5, 1, 1);
    }

    private void begin(SourceSelection merge) {
        channel.freezeTime();
        lists =
                new NodeDiscoveryAdapter(
                        loop,
                        merge,
                        NodeDiscovery.Settings.DEFAULTS,
                        ASK_WITHIN,
                        7,
                        (kind, told) -> {
                            kinds.add(kind);
                            members.addAll(told);
                        },
                        sink -> {
                            registry.sink = sink;
                            return registry;
                        },
                        membership -> {
                            client.membership = membership;
                            return client;
                        });
        assertEquals(List.of(member("known", 1)), lists.start());
        assertTrue(kinds.isEmpty(), "told by what begin returns");
        assertTrue(client.started);
        lists.subscribe(true);
    }

    private void pass(long millis) {
        for (long i = 0; i < millis; i += 100) {
            channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    private void connected(int port) {
        client.membership.onSessionState(loop.nanoTime(), SessionState.CONNECTED);
        client.membership.onSnapshot(loop.nanoTime(), loop.nanoTime(), 1, Map.of("n", node(port)));
    }

    @Test
    void withNodesAloneTheRegistryIsNotPolled() {
        begin(SourceSelection.NODES);
        assertEquals(0, registry.asked);
        connected(2);
        assertEquals(List.of(UpdateKind.SNAPSHOT), kinds);
        assertEquals(List.of("n"), members.stream().map(DiscoveredEndpoint::id).toList());
        lists.close();
        assertTrue(client.closed && registry.closed);
        pass(1000);
        assertEquals(0, channel.runScheduledPendingTasks() + 1, "no timer is left");
    }

    /** Guards against a registry that is not polled again because the nodes bring updates. */
    @Test
    void failedRegistryIsPolledAgainWhateverTheNodesReport() {
        begin(SourceSelection.BOTH);
        assertEquals(1, registry.asked);
        connected(2);
        registry.sink.onUpdate(UpdateKind.FAILURE, List.of());
        assertFalse(kinds.contains(UpdateKind.FAILURE), "the module would count on its own asking");
        pass(400);
        assertEquals(2, registry.asked);
        registry.sink.onUpdate(UpdateKind.FAILURE, List.of());
        pass(600);
        assertEquals(3, registry.asked);
        registry.sink.onUpdate(UpdateKind.FAILURE, List.of());
        registry.sink.onUpdate(UpdateKind.DELTA, List.of());
        pass(30_000);
        assertEquals(3, registry.asked);
    }

    /**
     * Guards against requests that go by the registry's news while the nodes' have not come yet.
     */
    @Test
    void afterAStallItIsCaughtUpWhenTheClientHasConfirmed() {
        begin(SourceSelection.BOTH);
        connected(2);
        client.waiting =
                () -> client.membership.onNodeDeleted(loop.nanoTime(), loop.nanoTime(), 2, "n");
        pass(1000);
        lists.readPendingUpdates();
        assertEquals(HostState.DRAINING, members.get(members.size() - 1).state(), "told at once");
        assertFalse(lists.isCaughtUp());
        Runnable first = client.heard;
        lists.readPendingUpdates();
        first.run();
        assertFalse(lists.isCaughtUp(), "the answer to an earlier question");
        client.heard.run();
        assertTrue(lists.isCaughtUp());
        assertEquals(UpdateKind.DELTA, kinds.get(kinds.size() - 1));
    }
}
