package appleridge.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import appleridge.discovery.ephemeral.Merge;
import appleridge.discovery.ephemeral.NodeData;
import appleridge.discovery.ephemeral.NodeMembership;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.Session;
import appleridge.loadbalancing.Balancer.ListKind;
import appleridge.loadbalancing.Balancer.State;
import appleridge.loadbalancing.Balancer.Upstream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the decision module gets of a list, also of one that comes from two sources. */
class DirectoryTest {
    private static final long MS = 1_000_000;
    private static final long NOW = 100_000;
    private static final long RECENT = NOW - 1000;

    private final Directory directory = new Directory(millis -> Math.min(NOW, millis) * MS);
    private final Map<Long, Upstream> module = new LinkedHashMap<>();
    private final NodeMembership membership =
            new NodeMembership(
                    Merge.BOTH,
                    NodeMembership.Settings.USUAL,
                    (kind, members, source, toldAt) -> take(kind, members),
                    line -> {},
                    line -> {});

    private void take(ListKind kind, List<Member> members) {
        if (kind == ListKind.FULL) {
            module.clear();
        }
        for (Upstream each : directory.news(kind, members).entries()) {
            if (each.state() == State.GONE) {
                module.remove(each.id());
            } else {
                module.put(each.id(), each);
            }
        }
    }

    private static InetSocketAddress at(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static Member member(String id, int port, long startedMillis) {
        return new Member(id, at(port), 0, 0, 0, State.READY, 1, startedMillis);
    }

    private static NodeRead node(long zxid, int port, long startedMillis) {
        return new NodeRead(
                new NodeData(at(port), 0, 0, 0, State.READY, 1, startedMillis, null),
                null,
                NOW - 5000,
                zxid,
                zxid);
    }

    /** Guards against a cold server that is sent the work of two. */
    @Test
    void oneAddressUnderTwoIdsIsOneUpstreamWithOneColdBudget() {
        membership.registry(1, ListKind.FULL, List.of(member("r", 1, RECENT)));
        membership.session(2, Session.CONNECTED);
        membership.snapshot(3, 3, 10, Map.of("n", node(1, 1, RECENT)));
        assertEquals(
                List.of(RECENT * MS), module.values().stream().map(Upstream::startedAt).toList());
        membership.changed(4, 4, 11, "again");
        membership.read(5, 11, "again", node(11, 1, RECENT));
        membership.tick(6);
        assertEquals(1, module.size(), "an old node and a new one");
        membership.gone(7, 7, 12, "n");
        membership.tick(3_000 * MS);
        assertEquals(List.of(UpstreamNumbers.natural("again")), List.copyOf(module.keySet()));
    }

    @Test
    void aStartThatIsYetToComeIsNow() {
        membership.session(2, Session.CONNECTED);
        membership.snapshot(3, 3, 10, Map.of("n", node(1, 1, NOW + 60_000)));
        assertEquals(NOW * MS, module.get(UpstreamNumbers.natural("n")).startedAt());
    }

    @Test
    void aStartThatIsNotNamedIsNeverLongAgo() {
        membership.session(2, Session.CONNECTED);
        membership.snapshot(3, 3, 10, Map.of("n", node(1, 1, 0)));
        assertEquals((NOW - 5000) * MS, module.get(UpstreamNumbers.natural("n")).startedAt());
    }

    @Test
    void whoFlapsKeepsItsNumberAndItsStart() {
        membership.session(2, Session.CONNECTED);
        membership.snapshot(3, 3, 10, Map.of("n", node(1, 1, RECENT)));
        Upstream before = module.get(UpstreamNumbers.natural("n"));
        membership.gone(200 * MS, 200 * MS, 11, "n");
        assertEquals(State.DRAINING, module.get(before.id()).state());
        membership.changed(201 * MS, 201 * MS, 12, "n");
        membership.read(202 * MS, 12, "n", node(12, 1, RECENT));
        membership.tick(300 * MS);
        assertEquals(Map.of(before.id(), before), module);
    }
}
