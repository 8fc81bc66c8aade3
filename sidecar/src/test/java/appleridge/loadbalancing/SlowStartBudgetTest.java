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

/** The requests that a host gets just after its start. */
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
        long warming = sidecar.sentTo(9, before);
        // 1.5 s at 200 requests per second over 4 warm hosts are 75 each. The new host's capacity
        // starts at 0.3 and has hardly grown.
        assertTrue(warming > 5 && warming < 40, "warming host got " + warming);
    }

    @Test
    void manyQuietSidecarsDoNotOverloadAWarmingHostTogether() {
        int sent = 0;
        long warming = 0;
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
            warming += sidecar.sentTo(99, before);
        }
        // 1800 requests in 1.5 s over 11 hosts are 164 each. The new host's capacity grows from 0.3
        // to 0.43.
        assertEquals(1_800, sent);
        assertTrue(warming > 5 && warming < 70, "warming host got " + warming);
    }

    /**
     * Guards against a fleet that warms up as a whole and is used only within the subset, which
     * can't carry the load.
     */
    @Test
    void largeFleetWarmingUpAsAWholeIsUsedBeyondTheSubset() {
        SidecarHarness sidecar = SidecarHarness.ofMany(1, 3).withHosts(60);
        int served = 0;
        int rejectedBefore = 0;
        for (int tick = 0; tick < 4_000; tick++) {
            sidecar.advance(6 * MS);
            if (tick == 2_700) {
                List<UpstreamHost> restarted = new ArrayList<>();
                for (int i = 0; i < 60; i++) {
                    restarted.add(upstreamHost(i, HostState.READY, sidecar.now));
                }
                sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.DELTA, restarted);
                rejectedBefore = sidecar.answers.size();
            }
            for (;
                    served < sidecar.sends.size()
                            && sidecar.sends.get(served).at() <= sidecar.now - 50 * MS;
                    served++) {
                sidecar.outcome(sidecar.sends.get(served), Outcome.OK);
            }
            sidecar.request(tick, 0);
        }
        int rejected = sidecar.answers.size() - rejectedBefore;
        assertTrue(rejected < 520, "rejected " + rejected + " of 1300");
    }

    /**
     * Guards against a new sidecar that takes its first response from a warming host for all that
     * the host can serve, and then rejects everything else for seconds.
     */
    @Test
    void newSidecarKeepsSendingToASingleWarmingHost() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(0, 1, seed);
            sidecar.policy.onEndpointUpdate(
                    sidecar.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(upstreamHost(1, HostState.READY, sidecar.now)));
            sidecar.advance(300 * MS);
            sidecar.burst(0, 6, 0);
            advanceAndServe(sidecar, 1_000 * MS);
            int before = sidecar.sends.size();
            sidecar.request(6, 0);
            advanceAndServe(sidecar, 1_000 * MS);
            sent += sidecar.sends.size() - before;
        }
        assertTrue(sent >= 70, "the seventh request was sent in " + sent + " of 100");
    }

    /**
     * Guards against extra requests beyond the credit that add up over all sidecars to an overload.
     */
    @Test
    void extraRequestsOfManyNewSidecarsStayWithinTheBudgetsConstant() {
        long warming = 0;
        for (int rank = 0; rank < 100; rank++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(rank, 100);
            sidecar.policy.onEndpointUpdate(
                    sidecar.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(upstreamHost(1, HostState.READY, sidecar.now)));
            int before = sidecar.sends.size();
            for (int id = 0; id < 10; id++) {
                sidecar.request(id, 0);
                advanceAndServe(sidecar, 150 * MS);
            }
            // The credit of a sidecar that has served nothing allows one request at most.
            warming += Math.max(0, sidecar.sends.size() - before - 1);
        }
        assertTrue(warming <= 3, "extra requests: " + warming);
    }

    @Test
    void fleetWarmingUpAsAWholeIsUsed() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT);
        List<UpstreamHost> warming = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            warming.add(upstreamHost(i, HostState.READY, sidecar.now - 100 * MS));
        }
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.CACHED_SNAPSHOT, warming);
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

    /** Advances the clock; attempts sent meanwhile are served after 2 ms. */
    private static void advanceAndServe(SidecarHarness sidecar, long time) {
        Set<SidecarHarness.SentAttempt> answered = new HashSet<>();
        for (long end = sidecar.now + time; sidecar.now < end; ) {
            sidecar.advance(2 * MS);
            sidecar.sends.stream()
                    .filter(sent -> sent.at() >= end - time && answered.add(sent))
                    .toList()
                    .forEach(sent -> sidecar.outcome(sent, Outcome.OK));
        }
    }
}
