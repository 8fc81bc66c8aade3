package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.http1.ClientTimeouts;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clients that ask and don't read. */
class UnreadAnswersTest {
    private static final long MS = Front.MS;
    private static final int KIB = 1024;
    private static final int AT_ONCE = 16;

    /** No more at once than a connection may bring in one turn of the loop. */
    private static void ask(Front front, Front.Client client, int times) {
        for (int left = times; left > 0; left -= AT_ONCE) {
            client.send(Front.READY.repeat(Math.min(left, AT_ONCE)));
            front.run(MS / 2);
        }
        front.run(5 * MS);
    }

    /**
     * Asks so much that some answers find no room in the system's buffers, at a pace of who could
     * read.
     */
    private static void fill(Front front, Front.Client client, int more) {
        ask(front, client, 1200);
        ask(front, client, more);
    }

    /** Guards against a loop that is busy with one client for as long as that likes. */
    @Test
    void whoAsksMoreInOneTurnThanOthersCanWaitForIsCutShort() throws Exception {
        try (Front front = new Front(5, 50, ClientTimeouts.DEFAULT)) {
            Front.Client greedy = front.client();
            greedy.send(Front.READY.repeat(1000));
            front.run(50 * MS);
            assertTrue(
                    greedy.statuses().size() <= AT_ONCE + 1,
                    "answered " + greedy.statuses().size());
            assertEquals(400, greedy.statuses().get(greedy.statuses().size() - 1));
            assertTrue(greedy.ended());
        }
    }

    /** Guards against memory filled by one client that asks on and on and reads nothing. */
    @Test
    void whatOneClientDoesNotReadIsBounded() throws Exception {
        try (Front front = new Front(1, 50, ClientTimeouts.DEFAULT)) {
            Front.Client hungry = front.client();
            hungry.readsNothing();
            long most = 0;
            for (int i = 0; i < 100; i++) {
                ask(front, hungry, 200);
                most = Math.max(most, front.loop.usedMemory());
            }
            assertTrue(most < KIB * KIB, "bytes held: " + most);
            assertEquals(0, front.server.connectionCount());
            assertEquals(0, front.loop.usedMemory());
        }
    }

    /** Guards against memory filled by many of them, each within its own bound. */
    @Test
    void whatAllClientsTogetherDoNotReadIsBounded() throws Exception {
        try (Front front = new Front(2, 400, ClientTimeouts.DEFAULT)) {
            List<Front.Client> clients = front.clients(100);
            clients.forEach(Front.Client::readsNothing);
            long most = 0;
            for (int asked = 0; asked < 2100; asked += AT_ONCE) {
                clients.forEach(client -> client.send(Front.READY.repeat(AT_ONCE)));
                front.run(35 * MS);
                most = Math.max(most, front.loop.usedMemory());
            }
            assertTrue(most > 4 * KIB * KIB, "too little to tell: " + most);
            assertTrue(most < 8 * KIB * KIB, "bytes held: " + most);
        }
    }

    /**
     * Guards against a connection that hears nothing any more and waits for its last write for
     * ever.
     */
    @Test
    void aLastAnswerThatIsNeverReadEndsTheConnection() throws Exception {
        try (Front front = new Front(3, 50, ClientTimeouts.DEFAULT)) {
            Front.Client stuck = front.client();
            stuck.readsNothing();
            fill(front, stuck, 300);
            stuck.send("what is this\r\n\r\n");
            front.run(500 * MS);
            assertTrue(front.loop.usedMemory() > 0, "its last answers wait");
            assertEquals(1, front.server.connectionCount());
            front.run(20_000 * MS);
            assertEquals(0, front.server.connectionCount());
            assertEquals(0, front.loop.usedMemory());
        }
    }

    /** Guards against answers cut short where a client reads slowly, or not for a moment. */
    @Test
    void aClientThatReadsLateHasAllItsAnswers() throws Exception {
        try (Front front = new Front(4, 50, ClientTimeouts.DEFAULT)) {
            Front.Client late = front.client();
            late.readsNothing();
            fill(front, late, 300);
            front.run(1000 * MS);
            assertTrue(front.loop.usedMemory() > 0, "its last answers wait");
            late.readsOn();
            front.run(100 * MS);
            assertEquals(1500, late.statuses().size());
            assertFalse(late.ended(), "and it is kept");
        }
    }
}
