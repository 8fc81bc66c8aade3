package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.http1.ClientTimeouts;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Connections that are to be closed while a request waits on them unread. */
class UnreadRequestsTest {
    private static final long MS = Front.MS;
    private static final int SEEDS = 40;

    /**
     * Guards against first requests lost at the cap: after the loop stood still, newcomers may be
     * accepted before the connections there are have been read.
     */
    @Test
    void whatHasAskedUnreadIsNotClosedToMakeRoom() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Front front = new Front(seed, 4, ClientTimeouts.DEFAULT)) {
                List<Front.Client> silent = front.clients(4);
                front.run(300 * MS);
                front.loop.pause(60 * MS);
                front.run(10 * MS);
                Front.Client first = silent.get(0).send(front.request());
                Front.Client second = silent.get(1).send(front.request());
                List<Front.Client> late = front.clients(2);
                late.forEach(each -> each.send(front.request()));
                front.run(100 * MS);
                assertEquals(
                        List.of(false, false, true, true),
                        silent.stream().map(Front.Client::ended).toList(),
                        "seed " + seed);
                front.run(3_200 * MS);
                for (Front.Client each : List.of(first, second, late.get(0), late.get(1))) {
                    assertEquals(List.of(504), each.statuses(), "seed " + seed);
                }
            }
        }
    }

    /** Guards against closing one after the other, each from within the last one's answer. */
    @Test
    void manyThatHaveAskedUnreadAreAnsweredAndThenMakeRoom() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Front front = new Front(seed, 200, ClientTimeouts.DEFAULT)) {
                front.refuses();
                List<Front.Client> silent = front.clients(200);
                front.run(300 * MS);
                front.loop.pause(60 * MS);
                front.run(10 * MS);
                silent.forEach(each -> each.send(front.request()));
                List<Front.Client> late = front.clients(100);
                late.forEach(each -> each.send(front.request()));
                front.run(300 * MS);
                for (Front.Client each : silent) {
                    assertEquals(List.of(503), each.statuses(), "seed " + seed);
                }
                for (Front.Client each : late) {
                    assertEquals(List.of(503), each.statuses(), "seed " + seed);
                }
                assertTrue(front.server.connectionCount() <= 200);
                assertEquals(List.of(), front.failures);
            }
        }
    }

    /**
     * Guards against first requests lost where their connection's time was up while the loop stood
     * still.
     */
    @Test
    void whatHasAskedUnreadIsNotClosedForItsSilence() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            try (Front front = new Front(seed, 50, ClientTimeouts.DEFAULT)) {
                List<Front.Client> silent = front.clients(3);
                front.run(1_900 * MS);
                front.loop.pause(300 * MS);
                front.run(50 * MS);
                Front.Client first = silent.get(0).send(front.request());
                front.run(400 * MS);
                assertFalse(first.ended(), "seed " + seed);
                assertTrue(silent.get(1).ended(), "seed " + seed);
                front.run(3_000 * MS);
                assertEquals(List.of(504), first.statuses(), "seed " + seed);
            }
        }
    }
}
