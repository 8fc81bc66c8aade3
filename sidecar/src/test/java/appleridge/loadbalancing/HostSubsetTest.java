package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The part of a large fleet that a sidecar usually sends to. */
class HostSubsetTest {
    @Test
    void lowTrafficUsesTheSmallestSubsetAndKeepsItsConnections() {
        SidecarHarness sidecar = SidecarHarness.ofMany(7, 95).withHosts(60);
        for (int id = 0; id < 200; id++) {
            sidecar.serve(id, id + 1, 0, 20 * MS);
            sidecar.advance(80 * MS);
        }
        assertEquals(
                6,
                sidecar.hostsSentTo(0).size(),
                "with more hosts, each request would need a new connection");
        assertEquals(0, sidecar.closedConnections());
    }

    @Test
    void subsetsOfManySidecarsCoverTheFleetEvenly() {
        int[] sidecarsOfHost = new int[60];
        for (int rank = 0; rank < 95; rank++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(rank, 95).withHosts(60);
            sidecar.serve(0, 30, 0, 20 * MS);
            sidecar.hostsSentTo(0).forEach(id -> sidecarsOfHost[id.intValue()]++);
        }
        // 95 sidecars with 6 members each over 60 hosts are 9.5 per host; random positions would
        // give from 3 to 18.
        assertTrue(
                Arrays.stream(sidecarsOfHost).min().orElseThrow() >= 8,
                Arrays.toString(sidecarsOfHost));
        assertTrue(
                Arrays.stream(sidecarsOfHost).max().orElseThrow() <= 11,
                Arrays.toString(sidecarsOfHost));
    }

    /** Guards against sidecars without ranks that all use the same six hosts. */
    @Test
    void withoutRanksSubsetsAreDrawnAtRandom() {
        int[] sidecarsOfHost = new int[60];
        for (int seed = 100; seed < 195; seed++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(-1, 95, seed).withHosts(60);
            sidecar.serve(0, 30, 0, 20 * MS);
            sidecar.hostsSentTo(0).forEach(id -> sidecarsOfHost[id.intValue()]++);
        }
        assertTrue(
                Arrays.stream(sidecarsOfHost).max().orElseThrow() < 30,
                Arrays.toString(sidecarsOfHost));
    }

    @Test
    void subsetGrowsWithTheLoadAndShrinksByHalves() {
        SidecarHarness sidecar = SidecarHarness.ofMany(7, 95).withHosts(20);
        for (int id = 0; id < 2_000; id++) {
            sidecar.request(id, 0);
            if (id >= 40) {
                sidecar.outcome(sidecar.sends.get(id - 40), Outcome.OK);
            }
            sidecar.advance(2 * MS);
        }
        assertEquals(20, sidecar.hostsSentTo(1_000).size());
        long closedUnderLoad = sidecar.closedConnections();
        for (int id = 1_960; id < 2_000; id++) {
            sidecar.outcome(sidecar.sends.get(id), Outcome.OK);
        }
        int sentUnderLoad = sidecar.sends.size();
        for (int id = 3_000; id < 3_200; id++) {
            sidecar.serve(id, id + 1, 0, 20 * MS);
            sidecar.advance(480 * MS);
        }
        int kept = sidecar.hostsSentTo(sentUnderLoad + 150).size();
        assertTrue(kept <= 12, "members after the load has fallen: " + kept);
        assertEquals(
                20 - kept,
                sidecar.closedConnections() - closedUnderLoad,
                "connections to former members are closed");
    }

    @Test
    void remainderIsUsedWhileTheSubsetIsUnreachable() {
        SidecarHarness sidecar = SidecarHarness.ofMany(7, 95).withHosts(60);
        sidecar.serve(0, 30, 0, 20 * MS);
        Set<Long> members = sidecar.hostsSentTo(0);
        int served = 0;
        for (int id = 100; id < 200; id++) {
            sidecar.request(id, 0);
            for (int i = 0;
                    i < 3 && !sidecar.sendsOf(id).isEmpty() && sidecar.last().request() == id;
                    i++) {
                boolean unreachable = members.contains(sidecar.last().upstream());
                served += unreachable ? 0 : 1;
                sidecar.advance(10 * MS);
                sidecar.outcome(sidecar.last(), unreachable ? Outcome.CONNECT_FAILED : Outcome.OK);
                if (!unreachable) {
                    break;
                }
            }
        }
        assertTrue(served > 90, "served " + served);
        assertTrue(
                sidecar.closedConnections() > 80,
                "idle connections to hosts outside of the subset are closed");
    }
}
