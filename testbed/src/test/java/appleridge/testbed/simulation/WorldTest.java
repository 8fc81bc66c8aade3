package appleridge.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.Message;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorldTest {
    private static final String NO_FAULTS = "seed 1\nset errors 0\nset impatient 0\nset bursts 0\n";

    @Test
    void aDayWithoutFaultsIsServed() {
        SimulatedDay day = SimulatedDay.run(NO_FAULTS);
        assertTrue(day.recorder.asks.size() >= 300, "requests: " + day.recorder.asks.size());
        assertTrue(
                day.recorder.served() >= 0.95 * day.recorder.asks.size(),
                day.recorder.answers.toString());
        day.recorder.bodies.forEach(
                (id, body) -> {
                    if (day.recorder.answers.get(id) == 200) {
                        assertEquals(id, day.recorder.made.get(body));
                    }
                });
        assertTrue(day.recorder.ended);
        assertEquals(List.of("start n0 0", "start n1 0", "start n2 0"), day.log);
    }

    @Test
    void serversReadTheMessagesThatClientsWrite() {
        DayRecorder recorder = SimulatedDay.run("seed 3\nset large-bodies 0.3\n").recorder;
        assertEquals(recorder.asks.keySet(), recorder.written.keySet());
        assertFalse(recorder.read.isEmpty());
        recorder.read.forEach((id, message) -> assertEquals(recorder.written.get(id), message));
        recorder.deadlines.forEach(
                (id, deadline) -> assertEquals(recorder.asks.get(id).deadlineNanos(), deadline));
        assertTrue(recorder.written.values().stream().anyMatch(each -> each.uri().contains("?")));
        assertTrue(recorder.written.values().stream().map(Message::hash).distinct().count() > 100);
    }

    @Test
    void aKilledSidecarRestartsAndItsClientsUseOthersMeanwhile() {
        SimulatedDay day = SimulatedDay.run(NO_FAULTS + "at 3 kill who=n0 down=1");
        assertTrue(day.recorder.sidecars.contains("n0 0 killed"));
        assertTrue(day.recorder.sidecars.contains("n0 1 ready"));
        assertTrue(day.recorder.served() >= 0.9 * day.recorder.asks.size());
    }

    @Test
    void aSidecarExitsOnSigtermAndRestarts() {
        SimulatedDay day = SimulatedDay.run(NO_FAULTS + "at 3 term who=n1 down=0.5");
        assertTrue(day.recorder.sidecars.contains("n1 0 exited 0"));
        assertTrue(day.recorder.sidecars.contains("n1 1 ready"));
    }

    @Test
    void readinessIsProbedRepeatedlyAndMoreOftenAfterSigterm() {
        long baseline =
                SimulatedDay.run(NO_FAULTS).recorder.readiness.stream()
                        .filter("n1 200"::equals)
                        .count();
        assertTrue(baseline > 15, "probes: " + baseline);
        DayRecorder recorder = SimulatedDay.run(NO_FAULTS + "at 5 term who=n1 down=0").recorder;
        long more = recorder.readiness.stream().filter("n1 200"::equals).count();
        assertTrue(more >= baseline + 2, "probes: " + more);
        assertTrue(recorder.refused.isEmpty(), recorder.refused.toString());
    }

    @Test
    void connectionsToDiscoveryAreCounted() {
        assertEquals(
                List.of(1),
                SimulatedDay.run(NO_FAULTS).recorder.discoveryConnects.stream()
                        .distinct()
                        .toList());
    }

    @Test
    void aProcessMayStartWithoutAnEndpointList() {
        SimulatedDay baseline = new SimulatedDay(Plan.parse(NO_FAULTS));
        baseline.world.begin();
        assertFalse(baseline.recorder.delivered.isEmpty());
        SimulatedDay without = new SimulatedDay(Plan.parse(NO_FAULTS + "set known 0"));
        without.world.begin();
        assertEquals(List.of(), without.recorder.delivered);
    }

    @Test
    void allSidecarsFollowAMoveOfDiscovery() {
        SimulatedDay day = SimulatedDay.run(NO_FAULTS + "at 3 move\nat 5 crash who=s0 down=1");
        assertTrue(day.recorder.sidecars.containsAll(List.of("n0 0 hup", "n1 0 hup", "n2 0 hup")));
        assertTrue(
                day.recorder.delivered.contains("n2 s0.1 Ready"),
                day.recorder.delivered.toString());
    }

    @Test
    void aDrainedServerIsReplacedUnderANewId() {
        SimulatedDay day = SimulatedDay.run(NO_FAULTS + "at 3 drain who=s1 down=0.5");
        List<String> own =
                day.recorder.servers.stream().filter(line -> line.startsWith("s1.")).toList();
        assertEquals(
                List.of("s1.0 0 Ready", "s1.0 0 Terminating", "s1.0 0 Gone", "s1.1 0 Ready born"),
                own);
        assertTrue(day.recorder.delivered.contains("n0 s1.0 Terminating"));
        assertTrue(day.recorder.delivered.contains("n0 s1.1 Ready"));
    }

    @Test
    void aRestartedServerKeepsItsId() {
        SimulatedDay day = SimulatedDay.run(NO_FAULTS + "at 3 restart who=s1 down=0.5");
        List<String> own =
                day.recorder.servers.stream().filter(line -> line.startsWith("s1.")).toList();
        assertEquals(List.of("s1.0 0 Ready", "s1.0 0 Gone", "s1.0 1 Ready born"), own);
    }

    @Test
    void aStateTriggerHitsTheRequestThatEnteredTheState() {
        SimulatedDay day =
                SimulatedDay.run(
                        NO_FAULTS + "on arriving 20 client-reset\non answered 30 client-close");
        assertEquals(1, day.recorder.faults.get("client-reset"));
        assertEquals(1, day.recorder.faults.get("client-close"));
        assertTrue(day.recorder.gaveUp.size() >= 2);
    }

    @Test
    void noFaultIsInjectedAfterTheEndOfFaults() {
        SimulatedDay day =
                SimulatedDay.run(
                        NO_FAULTS
                                + "on arriving 250 kill who=n0 down=1\n"
                                + "on arriving 250 client-reset");
        assertTrue(day.recorder.faults.isEmpty());
    }

    @Test
    void allFaultsAreUndoneAtTheEndOfFaults() {
        StringBuilder scenario = new StringBuilder(NO_FAULTS);
        for (int i = 0; i < 8; i++) {
            scenario.append("at 7.")
                    .append(i)
                    .append(i % 2 == 0 ? " crash" : " drain")
                    .append(" who=s")
                    .append(i)
                    .append(" down=60\nat 7.9 vanish for=60 who=s")
                    .append(i)
                    .append('\n');
        }
        scenario.append(
                        "at 7 list-down for=60\n"
                                + "at 7.5 kill who=n0 down=60\n"
                                + "at 7.5 zone-cut who=ebene for=60\n")
                .append(
                        "at 7 link-late who=n1 for=60 by=1\n"
                                + "at 7 no-descriptors who=n2 for=60 count=0\n");
        SimulatedDay day = SimulatedDay.run(scenario.toString());
        int sent = 0;
        int served = 0;
        for (var each : day.recorder.asks.values()) {
            if (each.startedAt() > day.world.plan().calmFrom()) {
                sent++;
                served += Integer.valueOf(200).equals(day.recorder.answers.get(each.id())) ? 1 : 0;
            }
        }
        assertTrue(sent > 20 && served >= 0.9 * sent, served + " of " + sent);
    }

    @Test
    void drawnDaysHaveEnoughRequests() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedDay day = SimulatedDay.run(Plan.draw(seed));
            assertTrue(
                    day.recorder.asks.size() >= 300,
                    "seed " + seed + ": " + day.recorder.asks.size());
            assertFalse(day.recorder.served() == 0, "seed " + seed);
        }
    }
}
