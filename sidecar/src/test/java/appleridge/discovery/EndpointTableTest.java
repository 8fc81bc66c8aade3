package appleridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the decision module gets of a list, also of one that comes from two sources. */
class EndpointTableTest {
    private static final long MS = 1_000_000;
    private static final long NOW = 100_000;
    private static final long RECENT = NOW - 1000;

    private final EndpointTable directory = new EndpointTable(millis -> Math.min(NOW, millis) * MS);
    private final Map<Long, UpstreamHost> module = new LinkedHashMap<>();
    private final NodeDiscovery membership =
            new NodeDiscovery(
                    SourceSelection.BOTH,
                    NodeDiscovery.Settings.DEFAULTS,
                    (kind, members, source, toldAt) -> take(kind, members),
                    line -> {},
                    line -> {});

    private void take(UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.SNAPSHOT) {
            module.clear();
        }
        for (UpstreamHost each : directory.update(kind, members).entries()) {
            if (each.state() == HostState.GONE) {
                module.remove(each.id());
            } else {
                module.put(each.id(), each);
            }
        }
    }

    private static InetSocketAddress at(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static DiscoveredEndpoint member(String id, int port, long startedMillis) {
        return new DiscoveredEndpoint(id, at(port), 0, 0, 0, HostState.READY, 1, startedMillis);
    }

    private static NodeRead node(long zxid, int port, long startedMillis) {
        return new NodeRead(
                new NodeData(at(port), 0, 0, 0, HostState.READY, 1, startedMillis, null),
                null,
                NOW - 5000,
                zxid,
                zxid);
    }

    /** Guards against a cold server that is sent the work of two. */
    @Test
    void oneAddressUnderTwoIdsIsOneHostWithOneSlowStartBudget() {
        membership.onRegistryUpdate(1, UpdateKind.SNAPSHOT, List.of(member("r", 1, RECENT)));
        membership.onSessionState(2, SessionState.CONNECTED);
        membership.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, RECENT)));
        assertEquals(
                List.of(RECENT * MS),
                module.values().stream().map(UpstreamHost::startedAtNanos).toList());
        membership.onNodeChanged(4, 4, 11, "again");
        membership.onNodeRead(5, 11, "again", node(11, 1, RECENT));
        membership.tick(6);
        assertEquals(1, module.size(), "an old node and a new one");
        membership.onNodeDeleted(7, 7, 12, "n");
        membership.tick(3_000 * MS);
        assertEquals(List.of(UpstreamIds.hash("again")), List.copyOf(module.keySet()));
    }

    @Test
    void startInTheFutureCountsAsNow() {
        membership.onSessionState(2, SessionState.CONNECTED);
        membership.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, NOW + 60_000)));
        assertEquals(NOW * MS, module.get(UpstreamIds.hash("n")).startedAtNanos());
    }

    @Test
    void missingStartNeverCountsAsLongAgo() {
        membership.onSessionState(2, SessionState.CONNECTED);
        membership.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, 0)));
        assertEquals((NOW - 5000) * MS, module.get(UpstreamIds.hash("n")).startedAtNanos());
    }

    @Test
    void flappingHostKeepsItsNumberAndStart() {
        membership.onSessionState(2, SessionState.CONNECTED);
        membership.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, RECENT)));
        UpstreamHost before = module.get(UpstreamIds.hash("n"));
        membership.onNodeDeleted(200 * MS, 200 * MS, 11, "n");
        assertEquals(HostState.DRAINING, module.get(before.id()).state());
        membership.onNodeChanged(201 * MS, 201 * MS, 12, "n");
        membership.onNodeRead(202 * MS, 12, "n", node(12, 1, RECENT));
        membership.tick(300 * MS);
        assertEquals(Map.of(before.id(), before), module);
    }
}
