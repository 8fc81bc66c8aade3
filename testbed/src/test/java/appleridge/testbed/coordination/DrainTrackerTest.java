package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class DrainTrackerTest {
    private static final String ADDRESS = "127.0.0.1:1";

    private final DrainTracker drains = new DrainTracker("/s", 20);
    private long zxid = 100;

    private void report(
            NodeReply.Kind what, String path, String data, long at, String... children) {
        drains.onReply(new NodeReply(1, what, path, ++zxid, data, List.of(children)), at);
    }

    private void holds(String name, String address, boolean ready, long at) {
        report(
                NodeReply.Kind.HOLDS,
                "/s/" + name,
                new String(new ServerNode(address, "z", ready, 5).bytes(), StandardCharsets.UTF_8),
                at);
    }

    @Test
    void requestIsLateOnceTheAllowanceHasPassed() {
        holds("a", ADDRESS, true, 0);
        report(NodeReply.Kind.GONE, "/s/a", "", 100);
        drains.arrived(ADDRESS, "p", "early", 99);
        drains.arrived(ADDRESS, "p", "allowed", 120);
        assertEquals(List.of(), drains.lateRequests());
        drains.arrived(ADDRESS, "p", "late", 121);
        assertEquals("late", drains.lateRequests().get(0).id());
        assertEquals(21, drains.lateRequests().get(0).delay());
        assertEquals(21, drains.ends().get(0).delay());
        assertEquals(2, drains.ends().get(0).requests());
    }

    @Test
    void requestsAreAllowedAgainAfterTheNodeReturns() {
        holds("a", ADDRESS, true, 0);
        report(NodeReply.Kind.GONE, "/s/a", "", 100);
        holds("a", ADDRESS, true, 150);
        drains.arrived(ADDRESS, "p", "back", 160);
        assertEquals(List.of(), drains.lateRequests());
        drains.arrived(ADDRESS, "p", "between, recorded after the return", 149);
        assertEquals(49, drains.lateRequests().get(0).delay());
    }

    @Test
    void absenceFromTheChildrenEndsTheAddress() {
        holds("a", ADDRESS, true, 0);
        holds("b", "127.0.0.1:2", true, 0);
        report(NodeReply.Kind.CHILDREN, "/s", "", 50, "b", "c");
        assertFalse(drains.isPresent(ADDRESS));
        assertTrue(drains.isPresent("127.0.0.1:2"));
        assertEquals(50, drains.ends().get(0).from);
    }

    @Test
    void replyWithAnOlderZxidIsIgnored() {
        holds("a", ADDRESS, true, 0);
        drains.onReply(
                new NodeReply(1, NodeReply.Kind.CHILDREN, "/s", zxid - 1, "", List.of()), 50);
        assertTrue(drains.isPresent(ADDRESS));
    }

    @Test
    void terminatingMovedOrUnreadableNodeEndsTheAddress() {
        holds("a", ADDRESS, true, 0);
        holds("a", ADDRESS, false, 10);
        assertFalse(drains.isPresent(ADDRESS));
        holds("a", ADDRESS, true, 20);
        holds("a", "127.0.0.1:2", true, 30);
        assertFalse(drains.isPresent(ADDRESS));
        report(NodeReply.Kind.HOLDS, "/s/a", "{", 40);
        assertEquals(0, drains.size());
        assertEquals(3, drains.ends().size());
    }

    @Test
    void addressOfTwoNodesEndsWithTheLastNode() {
        holds("old", ADDRESS, true, 0);
        holds("new", ADDRESS, true, 10);
        report(NodeReply.Kind.GONE, "/s/old", "", 20);
        assertTrue(drains.isPresent(ADDRESS));
        report(NodeReply.Kind.GONE, "/s/new", "", 30);
        assertEquals(30, drains.ends().get(0).from);
    }
}
