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

/** What the load-balancing policy receives of an endpoint list, also of two merged sources. */
class EndpointTableTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NOW_MILLIS = 100_000;
    private static final long RECENT_MILLIS = NOW_MILLIS - 1000;

    private final EndpointTable table =
            new EndpointTable(millis -> Math.min(NOW_MILLIS, millis) * NANOS_PER_MILLI);
    private final Map<Long, UpstreamHost> hosts = new LinkedHashMap<>();
    private final NodeDiscovery discovery =
            new NodeDiscovery(
                    SourceSelection.BOTH,
                    NodeDiscovery.Settings.DEFAULTS,
                    (kind, members, source, sinceNanos) -> apply(kind, members),
                    line -> {},
                    line -> {});

    private void apply(UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.SNAPSHOT) {
            hosts.clear();
        }
        for (UpstreamHost each : table.update(kind, members).entries()) {
            if (each.state() == HostState.GONE) {
                hosts.remove(each.id());
            } else {
                hosts.put(each.id(), each);
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
                NOW_MILLIS - 5000,
                zxid,
                zxid);
    }

    /**
     * Guards against a cold server that gets the slow-start share of two hosts because it is listed
     * under two ids.
     */
    @Test
    void oneAddressUnderTwoIdsIsOneHostWithOneSlowStartBudget() {
        discovery.onRegistryUpdate(1, UpdateKind.SNAPSHOT, List.of(member("r", 1, RECENT_MILLIS)));
        discovery.onSessionState(2, SessionState.CONNECTED);
        discovery.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, RECENT_MILLIS)));
        assertEquals(
                List.of(RECENT_MILLIS * NANOS_PER_MILLI),
                hosts.values().stream().map(UpstreamHost::startedAtNanos).toList());
        discovery.onNodeChanged(4, 4, 11, "again");
        discovery.onNodeRead(5, 11, "again", node(11, 1, RECENT_MILLIS));
        discovery.tick(6);
        assertEquals(1, hosts.size(), "two nodes at one address are one host");
        discovery.onNodeDeleted(7, 7, 12, "n");
        discovery.tick(3_000 * NANOS_PER_MILLI);
        assertEquals(List.of(UpstreamIds.hash("again")), List.copyOf(hosts.keySet()));
    }

    @Test
    void startInTheFutureCountsAsNow() {
        discovery.onSessionState(2, SessionState.CONNECTED);
        discovery.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, NOW_MILLIS + 60_000)));
        assertEquals(
                NOW_MILLIS * NANOS_PER_MILLI, hosts.get(UpstreamIds.hash("n")).startedAtNanos());
    }

    @Test
    void missingStartNeverCountsAsLongAgo() {
        discovery.onSessionState(2, SessionState.CONNECTED);
        discovery.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, 0)));
        assertEquals(
                (NOW_MILLIS - 5000) * NANOS_PER_MILLI,
                hosts.get(UpstreamIds.hash("n")).startedAtNanos());
    }

    @Test
    void flappingHostKeepsItsNumberAndStart() {
        discovery.onSessionState(2, SessionState.CONNECTED);
        discovery.onSnapshot(3, 3, 10, Map.of("n", node(1, 1, RECENT_MILLIS)));
        UpstreamHost before = hosts.get(UpstreamIds.hash("n"));
        discovery.onNodeDeleted(200 * NANOS_PER_MILLI, 200 * NANOS_PER_MILLI, 11, "n");
        assertEquals(HostState.DRAINING, hosts.get(before.id()).state());
        discovery.onNodeChanged(201 * NANOS_PER_MILLI, 201 * NANOS_PER_MILLI, 12, "n");
        discovery.onNodeRead(202 * NANOS_PER_MILLI, 12, "n", node(12, 1, RECENT_MILLIS));
        discovery.tick(300 * NANOS_PER_MILLI);
        assertEquals(Map.of(before.id(), before), hosts);
    }
}
