package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.ClientAttempt;
import appleridge.testbed.simnet.Host;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ApplicationTest {
    private static final String NO_RANDOM_FAULTS =
            "seed 4\nset errors 0\nset impatient 0\nset bursts 0\n";

    private static Map<String, Integer> attemptsByIntent(SimulatedDay day) {
        Map<String, Integer> attempts = new HashMap<>();
        day.recorder
                .asks
                .values()
                .forEach(each -> attempts.merge(each.operationId(), 1, Integer::sum));
        return attempts;
    }

    @Test
    void cookieKeysAreUniquePerAttemptAndIdempotencyKeysStayPerIntent() {
        SimulatedDay day =
                SimulatedDay.run(
                        NO_RANDOM_FAULTS
                                + "set retries 2\nat 2 no-descriptors who=n0 for=6 count=0");
        Set<Long> keys = new HashSet<>();
        Map<String, String> idempotency = new HashMap<>();
        for (ClientAttempt each : day.recorder.asks.values()) {
            assertTrue(keys.add(each.cookieKey()));
            assertEquals(
                    RequestClasses.of(each.requestClass()).keyed(), each.idempotencyKey() != null);
            String before =
                    idempotency.putIfAbsent(
                            each.operationId(), String.valueOf(each.idempotencyKey()));
            assertTrue(before == null || before.equals(String.valueOf(each.idempotencyKey())));
            assertTrue(each.deadlineNanos() <= RequestClasses.of(each.requestClass()).deadline());
        }
    }

    @Test
    void refusedRequestsAreRetriedAtMostTheConfiguredNumberOfTimes() {
        StringBuilder full = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            full.append("at 1 full who=s").append(i).append(" for=9\n");
        }
        assertEquals(
                1,
                attemptsByIntent(SimulatedDay.run(NO_RANDOM_FAULTS + "set retries 0\n" + full))
                        .values()
                        .stream()
                        .mapToInt(Integer::intValue)
                        .max()
                        .orElseThrow());
        assertEquals(
                3,
                attemptsByIntent(SimulatedDay.run(NO_RANDOM_FAULTS + "set retries 2\n" + full))
                        .values()
                        .stream()
                        .mapToInt(Integer::intValue)
                        .max()
                        .orElseThrow());
    }

    @Test
    void impatientClientsGiveUpBeforeTheirDeadline() {
        SimulatedDay day =
                SimulatedDay.run(NO_RANDOM_FAULTS.replace("set impatient 0", "set impatient 1"));
        assertTrue(day.recorder.gaveUp.size() > 50);
        day.recorder
                .asks
                .values()
                .forEach(each -> assertTrue(each.clientTimeoutNanos() < each.deadlineNanos()));
    }

    @Test
    void slowReadersAreServed() {
        SimulatedDay day = SimulatedDay.run(NO_RANDOM_FAULTS + "set slow-readers 1");
        assertTrue(day.recorder.served() > 0.9 * day.recorder.asks.size());
    }

    @Test
    void pipelinedRequestsAreServed() {
        SimulatedDay day =
                SimulatedDay.run(
                        NO_RANDOM_FAULTS + "set pipelined 1\nset rate 100\nset sidecars 1");
        assertTrue(
                day.recorder.served() > 0.8 * day.recorder.asks.size(),
                day.recorder.served() + " of " + day.recorder.asks.size());
        assertEquals(Set.of(), day.recorder.broken.keySet());
    }

    @Test
    void clientsThatSendOneRequestKeepTheirConnections() {
        SimulatedDay day =
                new SimulatedDay(Plan.parse(NO_RANDOM_FAULTS + "set ask-once 1\nset sidecars 1"));
        day.world.begin();
        day.world.simulation().runUntil(day.world.plan().quietFrom());
        long kept = day.world.network().sockets(host(day)).size();
        assertTrue(kept > 100, "kept " + kept);
        assertTrue(day.recorder.served() > 0.9 * day.recorder.asks.size());
    }

    private static Host host(SimulatedDay day) {
        return day.world.network().sockets(day.world.sidecarHost("n0")).get(0).peerHost();
    }

    @Test
    void aFloodComesFromOneTenant() {
        SimulatedDay day =
                SimulatedDay.run(NO_RANDOM_FAULTS + "set rate 0\nat 4 flood who=n0 for=2 rate=50");
        List<Integer> tenants =
                day.recorder.asks.values().stream().map(ClientAttempt::tenant).distinct().toList();
        assertEquals(1, tenants.size());
        assertTrue(day.recorder.asks.size() > 60 && day.recorder.asks.size() < 140);
    }

    @Test
    void largeBodiesArriveComplete() {
        SimulatedDay day =
                SimulatedDay.run(
                        NO_RANDOM_FAULTS
                                + "set large-bodies 1\nset large-answers 1\nset chunked 0.5\n"
                                + "set send-buffer 256\nset receive-buffer 256\nset chopped 0.3");
        assertTrue(
                day.recorder.served() > 0.7 * day.recorder.asks.size(),
                day.recorder.served() + " of " + day.recorder.asks.size());
        day.recorder.bodies.forEach(
                (id, body) -> assertTrue(body.isEmpty() || id.equals(day.recorder.made.get(body))));
    }
}
