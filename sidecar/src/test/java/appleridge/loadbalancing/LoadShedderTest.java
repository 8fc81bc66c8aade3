package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.NON_IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Load shedding while responses are late all over the fleet. */
class LoadShedderTest {
    @Test
    void fleetWideLatenessShedsFirstAttemptsUntilResponsesAreTimely() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(10);
        sidecar.serve(0, 200, 0, 20 * MS);
        for (int round = 0; round < 8; round++) {
            sidecar.burst(1_000 + 10 * round, 1_010 + 10 * round, 0);
            sidecar.advance(500 * MS);
            List.copyOf(sidecar.sends).stream()
                    .filter(s -> s.at() == sidecar.now - 500 * MS)
                    .forEach(s -> sidecar.outcome(s, Outcome.OK));
        }
        int before = sidecar.sends.size();
        serveAdmitted(sidecar, 2_000, 10);
        int admitted = sidecar.sends.size() - before;
        assertTrue(admitted >= 1 && admitted <= 5, "sent right after the overload " + admitted);
        assertTrue(sidecar.log.contains("log load shedding begins: answers are late fleet-wide"));
        serveAdmitted(sidecar, 3_000, 200);
        assertTrue(sidecar.log.contains("log load shedding ends"));
        before = sidecar.sends.size();
        serveAdmitted(sidecar, 4_000, 20);
        assertEquals(20, sidecar.sends.size() - before, "all admitted again");
    }

    /**
     * Guards against a sidecar with little traffic that rejects requests for minutes although hosts
     * are idle.
     */
    @Test
    void sheddingEndsByTimeAloneWithoutNewLateness() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(10);
        sidecar.serve(0, 200, 0, 20 * MS);
        for (int round = 0; round < 8; round++) {
            sidecar.burst(1_000 + 10 * round, 1_010 + 10 * round, 0);
            sidecar.advance(500 * MS);
            List.copyOf(sidecar.sends).stream()
                    .filter(s -> s.at() == sidecar.now - 500 * MS)
                    .forEach(s -> sidecar.outcome(s, Outcome.OK));
        }
        assertTrue(sidecar.log.contains("log load shedding begins: answers are late fleet-wide"));
        long evidence = 4 * settings(NON_IDEMPOTENT).classes().get(0).latencyObjectiveNanos();
        sidecar.advance(4 * evidence);
        for (int id = 2_000; id < 2_020; id++) {
            int before = sidecar.sends.size();
            sidecar.request(id, 0);
            assertEquals(before + 1, sidecar.sends.size(), "admitted: " + id);
            sidecar.advance(20 * MS);
            sidecar.outcome(sidecar.last(), Outcome.OK);
            sidecar.advance(evidence);
        }
        assertTrue(sidecar.log.contains("log load shedding ends"));
    }

    @Test
    void serviceWhoseUnloadedResponsesTakeMostOfTheObjectiveIsNotShedForGood() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(4);
        for (int id = 0; id < 400; id++) {
            int before = sidecar.sends.size();
            sidecar.request(id, 0);
            sidecar.advance(400 * MS);
            if (sidecar.sends.size() > before) {
                sidecar.outcome(sidecar.last(), Outcome.OK);
            }
        }
        assertEquals(399, sidecar.last().request(), "the last requests are admitted");
        long beginnings =
                sidecar.log.stream()
                        .filter(line -> line.startsWith("log load shedding begins"))
                        .count();
        assertEquals(
                beginnings, sidecar.log.stream().filter("log load shedding ends"::equals).count());
    }

    /**
     * Guards against many sidecars that all stop sending after a second of overload: while half of
     * the responses stay late, a good part of the requests is still sent.
     */
    @Test
    void halfOfTheResponsesLateLeavesAGoodPartAdmitted() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(40);
        sidecar.serve(0, 200, 0, 20 * MS);
        int nextId = 200;
        List<SidecarHarness.SentAttempt> outstanding = new ArrayList<>();
        int before = sidecar.sends.size();
        for (int tick = 0; tick < 400; tick++) {
            int sent = sidecar.sends.size();
            sidecar.request(nextId, 0);
            nextId++;
            if (sidecar.sends.size() > sent) {
                outstanding.add(sidecar.last());
            }
            sidecar.advance(50 * MS);
            for (SidecarHarness.SentAttempt each : List.copyOf(outstanding)) {
                boolean slow = each.request() % 2 == 0;
                if (sidecar.now - each.at() >= (slow ? 450 : 50) * MS) {
                    outstanding.remove(each);
                    sidecar.outcome(each, Outcome.OK);
                }
            }
        }
        double part = (sidecar.sends.size() - before) / 400.0;
        assertTrue(part > 0.35 && part < 0.95, "fraction of the requests sent: " + part);
    }

    /** Guards against many sidecars that each wait for late responses before they admit less. */
    @Test
    void shorterDelaysShowOverloadIfManySidecarsShareAHost() {
        for (int replicas : new int[] {3, 95}) {
            SidecarHarness sidecar = SidecarHarness.ofMany(7, replicas).withHosts(60);
            sidecar.serve(0, 200, 0, 80 * MS);
            List<SidecarHarness.SentAttempt> outstanding = new ArrayList<>();
            for (int id = 1_000; id < 1_200; id++) {
                int before = sidecar.sends.size();
                sidecar.request(id, 0);
                outstanding.addAll(sidecar.sends.subList(before, sidecar.sends.size()));
                sidecar.advance(50 * MS);
                for (SidecarHarness.SentAttempt each : List.copyOf(outstanding)) {
                    if (sidecar.now - each.at() >= 250 * MS) {
                        outstanding.remove(each);
                        sidecar.outcome(each, Outcome.OK);
                    }
                }
            }
            boolean sheds =
                    sidecar.log.stream()
                            .anyMatch(line -> line.startsWith("log load shedding begins"));
            assertEquals(replicas > 3, sheds, "sidecars: " + replicas);
        }
    }

    @Test
    void tenantBeyondItsFairShareIsShedFirst() {
        SidecarHarness sidecar =
                new SidecarHarness(
                                TestSettings.of(NON_IDEMPOTENT)
                                        .replicas(1)
                                        .tenants(new Tenant(0.5, 10), new Tenant(0.5, 10))
                                        .overQuotaWeight(0.1)
                                        .build(),
                                7)
                        .withHosts(40);
        sidecar.serve(0, 200, 0, 20 * MS);
        int[] requested = new int[2];
        int[] sent = new int[2];
        List<SidecarHarness.SentAttempt> outstanding = new ArrayList<>();
        for (int i = 1_000; i < 2_000; i++) {
            int tenant = i % 4 == 0 ? 1 : 0;
            int before = sidecar.sends.size();
            sidecar.policy.onRequest(
                    sidecar.now, new RequestInfo(i, 0, tenant, 0, 1_000 * MS, 0, false, false));
            requested[tenant]++;
            if (sidecar.sends.size() > before) {
                sent[tenant]++;
                outstanding.add(sidecar.last());
            }
            sidecar.advance(100 * MS);
            for (SidecarHarness.SentAttempt each : List.copyOf(outstanding)) {
                if (sidecar.now - each.at() >= (each.request() % 5 != 0 ? 450 : 50) * MS) {
                    outstanding.remove(each);
                    sidecar.outcome(each, Outcome.OK);
                }
            }
        }
        double overShare = sent[0] / (double) requested[0];
        double withinShare = sent[1] / (double) requested[1];
        assertTrue(
                withinShare > 1.15 * overShare,
                "sent within the share: " + withinShare + ", beyond it: " + overShare);
    }

    @Test
    void fewCostlyRequestsDoNotCauseShedding() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(11);
        sidecar.serve(0, 220, 0, 20 * MS);
        for (int i = 0; i < 20; i++) {
            sidecar.serve(1_000 + 5 * i, 1_004 + 5 * i, 0, 20 * MS);
            sidecar.serve(1_004 + 5 * i, 1_005 + 5 * i, 0, 190 * MS);
        }
        int before = sidecar.sends.size();
        sidecar.burst(2_000, 2_015, 0);
        assertEquals(
                15,
                sidecar.sends.size() - before,
                "one response in five is slow, the others are fast");
    }

    /** Sends requests one by one; those that are admitted are served within 20 ms. */
    private static void serveAdmitted(SidecarHarness sidecar, int from, int count) {
        for (int id = from; id < from + count; id++) {
            int before = sidecar.sends.size();
            sidecar.request(id, 0);
            sidecar.advance(20 * MS);
            if (sidecar.sends.size() > before) {
                sidecar.outcome(sidecar.last(), Outcome.OK);
            }
        }
    }
}
