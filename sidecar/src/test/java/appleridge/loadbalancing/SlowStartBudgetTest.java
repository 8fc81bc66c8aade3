package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.upstreamHost;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a host that has just started is sent. */
class SlowStartBudgetTest {
    @Test
    void warmingHostGetsNoMoreThanItsShareOfAWarmOne() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(4);
        sidecar.serve(0, 2_000, 0, 5 * MS);
        sidecar.policy.onEndpointUpdate(
                sidecar.now,
                UpdateKind.DELTA,
                List.of(upstreamHost(9, HostState.READY, sidecar.now)));
        int before = sidecar.sends.size();
        sidecar.serve(5_000, 5_300, 0, 5 * MS);
        long cold = sidecar.sentTo(9, before);
        // 1.5 s at 200 a second over 4 warm servers: 75 each; the cold share is 0.3 and has hardly
        // grown.
        assertTrue(cold > 5 && cold < 40, "cold upstream got " + cold);
    }

    @Test
    void manyQuietSidecarsDoNotOverloadAWarmingHostTogether() {
        int sent = 0;
        long cold = 0;
        for (int rank = 0; rank < 600; rank++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(rank, 600).withHosts(10);
            for (int id = 0; id < 20; id++) {
                sidecar.serve(id, id + 1, 0, 20 * MS);
                sidecar.advance(480 * MS);
            }
            sidecar.policy.onEndpointUpdate(
                    sidecar.now,
                    UpdateKind.DELTA,
                    List.of(upstreamHost(99, HostState.READY, sidecar.now)));
            int before = sidecar.sends.size();
            for (int id = 100; id < 103; id++) {
                sidecar.serve(id, id + 1, 0, 20 * MS);
                sidecar.advance(480 * MS);
            }
            sent += sidecar.sends.size() - before;
            cold += sidecar.sentTo(99, before);
        }
        // 1800 requests in 1.5 s over 11 servers: 164 each; the cold share grows from 0.3 to 0.43.
        assertEquals(1_800, sent);
        assertTrue(cold > 5 && cold < 70, "cold upstream got " + cold);
    }

    /** Guards against a fleet that starts anew as a whole, of which only what lies near is used. */
    @Test
    void largeFleetWarmingUpAsAWholeIsUsedBeyondTheSubset() {
        SidecarHarness sidecar = SidecarHarness.ofMany(1, 3).withHosts(60);
        int seen = 0;
        int refusedBefore = 0;
        for (int tick = 0; tick < 4_000; tick++) {
            sidecar.advance(6 * MS);
            if (tick == 2_700) {
                List<UpstreamHost> fresh = new ArrayList<>();
                for (int i = 0; i < 60; i++) {
                    fresh.add(upstreamHost(i, HostState.READY, sidecar.now));
                }
                sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.DELTA, fresh);
                refusedBefore = sidecar.answers.size();
            }
            for (;
                    seen < sidecar.sends.size()
                            && sidecar.sends.get(seen).at() <= sidecar.now - 50 * MS;
                    seen++) {
                sidecar.outcome(sidecar.sends.get(seen), Outcome.OK);
            }
            sidecar.request(tick, 0);
        }
        int refused = sidecar.answers.size() - refusedBefore;
        assertTrue(refused < 520, "refused " + refused + " of 1300");
    }

    /**
     * Guards against a process that is new before a server that is cold: its first answer was all
     * that it knew of what a server can do, and everything else was refused for seconds.
     */
    @Test
    void newSidecarKeepsSendingToALoneWarmingHost() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(0, 1, seed);
            sidecar.policy.onEndpointUpdate(
                    sidecar.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(upstreamHost(1, HostState.READY, sidecar.now)));
            sidecar.advance(300 * MS);
            sidecar.burst(0, 6, 0);
            answerAtOnce(sidecar, 1_000 * MS);
            int before = sidecar.sends.size();
            sidecar.request(6, 0);
            answerAtOnce(sidecar, 1_000 * MS);
            sent += sidecar.sends.size() - before;
        }
        assertTrue(sent >= 70, "the seventh request was sent in " + sent + " of 100");
    }

    /** Guards against what a new process may send beyond the credit, which adds up over a fleet. */
    @Test
    void extraRequestsOfManyNewSidecarsStayWithinTheBudgetsConstant() {
        long cold = 0;
        for (int rank = 0; rank < 100; rank++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(rank, 100);
            sidecar.policy.onEndpointUpdate(
                    sidecar.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(upstreamHost(1, HostState.READY, sidecar.now)));
            int before = sidecar.sends.size();
            for (int id = 0; id < 10; id++) {
                sidecar.request(id, 0);
                answerAtOnce(sidecar, 150 * MS);
            }
            // What goes by the credit of a process that has served nothing is one request at most.
            cold += Math.max(0, sidecar.sends.size() - before - 1);
        }
        assertTrue(cold <= 3, "beyond the credit: " + cold);
    }

    @Test
    void fleetWarmingUpAsAWholeIsUsed() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT);
        List<UpstreamHost> cold = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            cold.add(upstreamHost(i, HostState.READY, sidecar.now - 100 * MS));
        }
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.CACHED_SNAPSHOT, cold);
        for (int id = 0; id < 20; id++) {
            sidecar.request(id, 0);
            sidecar.advance(100 * MS);
            List.copyOf(sidecar.sends).stream()
                    .filter(s -> s.at() >= sidecar.now - 100 * MS)
                    .forEach(s -> sidecar.outcome(s, Outcome.OK));
            sidecar.advance(300 * MS);
        }
        assertTrue(sidecar.sends.size() >= 10, "sent " + sidecar.sends.size() + " of 20");
    }

    /** Lets time pass; what is sent meanwhile is answered after 2 ms. */
    private static void answerAtOnce(SidecarHarness sidecar, long time) {
        Set<SidecarHarness.Sent> answered = new HashSet<>();
        for (long end = sidecar.now + time; sidecar.now < end; ) {
            sidecar.advance(2 * MS);
            sidecar.sends.stream()
                    .filter(sent -> sent.at() >= end - time && answered.add(sent))
                    .toList()
                    .forEach(sent -> sidecar.outcome(sent, Outcome.OK));
        }
    }
}
