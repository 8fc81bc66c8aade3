package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.http1.ClientTimeouts;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Connections that wait in the system's backlog, where there is no room for them or no time left.
 */
class WaitingConnectionsTest {
    private static final long MS = Front.MS;
    private static final int SEEDS = 20;

    private static List<Front.Client> ask(Front front, int number) throws Exception {
        List<Front.Client> clients = front.clients(number);
        clients.forEach(each -> each.send(front.request()));
        return clients;
    }

    /**
     * Guards against clients that hear nothing while others hold all connections that there may be.
     */
    @Test
    void atTheCapWithAllInUseThoseThatWaitAreToldSoon() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Front front = new Front(seed, 4, ClientTimeouts.DEFAULT)) {
                List<Front.Client> clients = ask(front, 4);
                front.run(10 * MS);
                clients.addAll(ask(front, 20));
                front.run(250 * MS);
                assertTrue(
                        clients.stream().allMatch(each -> each.statuses().isEmpty()),
                        "they may wait");
                front.run(1_000 * MS);
                List<Front.Client> held = clients.stream().filter(each -> !each.ended()).toList();
                assertTrue(held.size() >= 4 && held.size() <= 4 + 4, "held: " + held.size());
                assertTrue(held.containsAll(clients.subList(0, 4)));
                for (Front.Client each : clients) {
                    assertEquals(held.contains(each) ? List.of() : List.of(503), each.statuses());
                }
                front.run(3_000 * MS);
                held.forEach(each -> assertEquals(List.of(504), each.statuses()));
                Front.Client late = front.client().send(Front.READY);
                front.run(10 * MS);
                assertEquals(List.of(503), late.statuses());
                assertFalse(late.ended(), "as usual again");
            }
        }
    }

    /** Guards against clients sent away though a place is free in a moment. */
    @Test
    void whereThereIsRoomSoonThoseThatWaitAreServed() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Front front = new Front(seed, 40, ClientTimeouts.DEFAULT)) {
                front.clients(40);
                front.run(10 * MS);
                List<Front.Client> late = ask(front, 30);
                front.run(1_000 * MS);
                assertTrue(
                        late.stream().allMatch(each -> each.statuses().isEmpty()),
                        "held, seed " + seed);
                front.run(3_000 * MS);
                late.forEach(each -> assertEquals(List.of(504), each.statuses()));
            }
        }
    }

    /**
     * Guards against what came before the end of accepting and is reset by it, as the loop stood
     * still.
     */
    @Test
    void whatCameWhileTheLoopStoodStillIsTakenBeforeAcceptingEnds() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Front front = new Front(seed, 100, ClientTimeouts.DEFAULT)) {
                drain(front);
                front.run(350 * MS);
                front.loop.pause(300 * MS);
                front.run(20 * MS);
                List<Front.Client> late = ask(front, 50);
                front.run(4_000 * MS);
                for (Front.Client each : late) {
                    assertEquals(List.of(504), each.statuses(), "seed " + seed);
                }
                assertEquals(List.of("drained"), front.failures);
            }
        }
    }

    /** Guards against what waits for room when accepting ends. */
    @Test
    void whatWaitsForRoomWhenAcceptingEndsIsTold() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Front front = new Front(seed, 4, ClientTimeouts.DEFAULT)) {
                List<Front.Client> clients = new ArrayList<>(ask(front, 4));
                drain(front);
                front.run(400 * MS);
                clients.addAll(ask(front, 20));
                front.run(4_000 * MS);
                for (Front.Client each : clients) {
                    assertEquals(1, each.statuses().size(), "seed " + seed);
                }
                assertEquals(List.of("drained"), front.failures);
            }
        }
    }

    /** Guards against an end of accepting that those put off for ever who go on connecting. */
    @Test
    void acceptingEndsThoughOthersGoOnConnecting() throws Exception {
        try (Front front = new Front(1, 100, ClientTimeouts.DEFAULT)) {
            drain(front);
            front.run(550 * MS);
            int refused = 0;
            for (int i = 0; i < 500; i++) {
                Front.Client client = front.client();
                front.run(MS);
                refused += client.ended() ? 1 : 0;
            }
            assertTrue(refused > 200, "refused: " + refused);
        }
    }

    private static void drain(Front front) {
        front.loop.execute(() -> front.server.drain(0, () -> front.failures.add("drained")));
    }
}
