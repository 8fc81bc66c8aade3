package appleridge.testbed.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class DrainBookTest {
    private static final String ADDRESS = "127.0.0.1:1";

    private final DrainBook book = new DrainBook("/s", 20);
    private long zxid = 100;

    private void tell(NodeReply.What what, String path, String data, long at, String... children) {
        book.heard(new NodeReply(1, what, path, ++zxid, data, List.of(children)), at);
    }

    private void holds(String name, String address, boolean ready, long at) {
        tell(
                NodeReply.What.HOLDS,
                "/s/" + name,
                new String(new ServerNode(address, "z", ready, 5).bytes(), StandardCharsets.UTF_8),
                at);
    }

    @Test
    void aRequestLongAfterItsServersEndIsLate() {
        holds("a", ADDRESS, true, 0);
        tell(NodeReply.What.GONE, "/s/a", "", 100);
        book.arrived(ADDRESS, "p", "early", 99);
        book.arrived(ADDRESS, "p", "allowed", 120);
        assertEquals(List.of(), book.late());
        book.arrived(ADDRESS, "p", "late", 121);
        assertEquals("late", book.late().get(0).id());
        assertEquals(21, book.late().get(0).delay());
        assertEquals(21, book.ends().get(0).delay());
        assertEquals(2, book.ends().get(0).requests());
    }

    @Test
    void oneThatIsBackMayGetRequestsAgain() {
        holds("a", ADDRESS, true, 0);
        tell(NodeReply.What.GONE, "/s/a", "", 100);
        holds("a", ADDRESS, true, 150);
        book.arrived(ADDRESS, "p", "back", 160);
        assertEquals(List.of(), book.late());
        book.arrived(ADDRESS, "p", "between, told of after it was back", 149);
        assertEquals(49, book.late().get(0).delay());
    }

    @Test
    void absenceFromTheListIsAnEnd() {
        holds("a", ADDRESS, true, 0);
        holds("b", "127.0.0.1:2", true, 0);
        tell(NodeReply.What.CHILDREN, "/s", "", 50, "b", "c");
        assertFalse(book.there(ADDRESS));
        assertTrue(book.there("127.0.0.1:2"));
        assertEquals(50, book.ends().get(0).from);
    }

    @Test
    void anOlderStateIsNoWord() {
        holds("a", ADDRESS, true, 0);
        book.heard(new NodeReply(1, NodeReply.What.CHILDREN, "/s", zxid - 1, "", List.of()), 50);
        assertTrue(book.there(ADDRESS));
    }

    @Test
    void terminatingMovedOrUnreadableIsAnEnd() {
        holds("a", ADDRESS, true, 0);
        holds("a", ADDRESS, false, 10);
        assertFalse(book.there(ADDRESS));
        holds("a", ADDRESS, true, 20);
        holds("a", "127.0.0.1:2", true, 30);
        assertFalse(book.there(ADDRESS));
        tell(NodeReply.What.HOLDS, "/s/a", "{", 40);
        assertEquals(0, book.size());
        assertEquals(3, book.ends().size());
    }

    @Test
    void anAddressOfTwoNodesEndsWithTheLast() {
        holds("old", ADDRESS, true, 0);
        holds("new", ADDRESS, true, 10);
        tell(NodeReply.What.GONE, "/s/old", "", 20);
        assertTrue(book.there(ADDRESS));
        tell(NodeReply.What.GONE, "/s/new", "", 30);
        assertEquals(30, book.ends().get(0).from);
    }
}
