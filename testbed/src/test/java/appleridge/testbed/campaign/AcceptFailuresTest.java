package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.http1.ClientTimeouts;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Connections that come when the process has no descriptor left. */
class AcceptFailuresTest {
    private static final long MS = Front.MS;

    private static void noneLeft(Front front) {
        front.sidecar.maxDescriptors(front.sidecar.descriptors());
    }

    /** Guards against a second without new connections, while others stand idle. */
    @Test
    void anIdleConnectionMakesPlace() throws Exception {
        try (Front front = new Front(1, 50, ClientTimeouts.DEFAULT)) {
            List<Front.Client> idle = front.clients(5);
            for (Front.Client each : idle) {
                each.send(Front.READY);
                front.run(MS);
            }
            noneLeft(front);
            Front.Client late = front.client().send(Front.READY);
            front.run(100 * MS);
            assertEquals(List.of(503), late.statuses());
            assertTrue(idle.get(0).ended(), "the longest idle one went");
            assertFalse(idle.get(1).ended());
            assertEquals(List.of(), front.failures);
        }
    }

    /** Guards against a loop that does nothing but try, and against a log that fills with it. */
    @Test
    void whereAllAreInUseItIsTriedAgainNowAndThen() throws Exception {
        try (Front front = new Front(2, 50, ClientTimeouts.DEFAULT)) {
            List<Front.Client> busy = front.clients(5);
            busy.forEach(each -> each.send(front.request()));
            front.run(10 * MS);
            noneLeft(front);
            Front.Client late = front.client().send(Front.READY);
            long steps = front.simulation.steps();
            front.run(2_500 * MS);
            long events = front.simulation.steps() - steps;
            assertTrue(events < 1000, "events: " + events);
            assertEquals(List.of(), late.statuses());
            assertTrue(busy.stream().noneMatch(Front.Client::ended));
            assertEquals(3, front.warnings.size(), front.warnings.toString());
            assertTrue(
                    front.warnings
                            .get(0)
                            .equals("failed to accept a connection: Too many open files"));
            assertEquals(List.of(), front.failures);
            front.sidecar.maxDescriptors(1000);
            front.run(60 * MS);
            assertEquals(List.of(503), late.statuses());
        }
    }

    /** Guards against a pause whose end opens the door whatever the cap. */
    @Test
    void theCapHoldsWhenItIsTriedAgain() throws Exception {
        try (Front front = new Front(3, 4, ClientTimeouts.DEFAULT)) {
            List<Front.Client> busy = front.clients(4);
            busy.forEach(each -> each.send(front.request()));
            front.run(10 * MS);
            noneLeft(front);
            List<Front.Client> late = front.clients(20);
            late.forEach(each -> each.send(front.request()));
            front.run(20 * MS);
            front.sidecar.maxDescriptors(1000);
            busy.get(0).socket.close();
            front.run(1_500 * MS);
            long held = late.stream().filter(each -> each.statuses().isEmpty()).count();
            assertTrue(held <= 1 + 4, "held beside the three others: " + held);
            assertTrue(
                    front.server.connectionCount() <= 4 + 4,
                    "connections: " + front.server.connectionCount());
        }
    }
}
