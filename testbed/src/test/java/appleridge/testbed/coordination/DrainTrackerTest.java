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
            NodeReply.Kind kind, String path, String data, long at, String... children) {
        drains.onReply(new NodeReply(1, kind, path, ++zxid, data, List.of(children)), at);
    }

    private void reportNode(String name, String address, boolean ready, long at) {
        report(
                NodeReply.Kind.HOLDS,
                "/s/" + name,
                new String(new ServerNode(address, "z", ready, 5).bytes(), StandardCharsets.UTF_8),
                at);
    }

    @Test
    void requestAfterTheAllowedDelayIsReported() {
        reportNode("a", ADDRESS, true, 0);
        report(NodeReply.Kind.GONE, "/s/a", "", 100);
        drains.onRequest(ADDRESS, "p", "early", 99);
        drains.onRequest(ADDRESS, "p", "allowed", 120);
        assertEquals(List.of(), drains.requestsAfterRemoval());
        drains.onRequest(ADDRESS, "p", "late", 121);
        assertEquals("late", drains.requestsAfterRemoval().get(0).id());
        assertEquals(21, drains.requestsAfterRemoval().get(0).delay());
        assertEquals(21, drains.removals().get(0).delay());
        assertEquals(2, drains.removals().get(0).requests());
    }

    @Test
    void requestsAreAllowedAgainAfterTheNodeReturns() {
        reportNode("a", ADDRESS, true, 0);
        report(NodeReply.Kind.GONE, "/s/a", "", 100);
        reportNode("a", ADDRESS, true, 150);
        drains.onRequest(ADDRESS, "p", "back", 160);
        assertEquals(List.of(), drains.requestsAfterRemoval());
        drains.onRequest(ADDRESS, "p", "between, recorded after the return", 149);
        assertEquals(49, drains.requestsAfterRemoval().get(0).delay());
    }

    @Test
    void absenceFromTheChildrenRemovesTheAddress() {
        reportNode("a", ADDRESS, true, 0);
        reportNode("b", "127.0.0.1:2", true, 0);
        report(NodeReply.Kind.CHILDREN, "/s", "", 50, "b", "c");
        assertFalse(drains.isPresent(ADDRESS));
        assertTrue(drains.isPresent("127.0.0.1:2"));
        assertEquals(50, drains.removals().get(0).from);
    }

    @Test
    void replyWithAnOlderZxidIsIgnored() {
        reportNode("a", ADDRESS, true, 0);
        drains.onReply(
                new NodeReply(1, NodeReply.Kind.CHILDREN, "/s", zxid - 1, "", List.of()), 50);
        assertTrue(drains.isPresent(ADDRESS));
    }

    @Test
    void terminatingMovedOrUnreadableNodeRemovesTheAddress() {
        reportNode("a", ADDRESS, true, 0);
        reportNode("a", ADDRESS, false, 10);
        assertFalse(drains.isPresent(ADDRESS));
        reportNode("a", ADDRESS, true, 20);
        reportNode("a", "127.0.0.1:2", true, 30);
        assertFalse(drains.isPresent(ADDRESS));
        report(NodeReply.Kind.HOLDS, "/s/a", "{", 40);
        assertEquals(0, drains.size());
        assertEquals(3, drains.removals().size());
    }

    @Test
    void addressOfTwoNodesIsRemovedWithTheLastNode() {
        reportNode("old", ADDRESS, true, 0);
        reportNode("new", ADDRESS, true, 10);
        report(NodeReply.Kind.GONE, "/s/old", "", 20);
        assertTrue(drains.isPresent(ADDRESS));
        report(NodeReply.Kind.GONE, "/s/new", "", 30);
        assertEquals(30, drains.removals().get(0).from);
    }
}
