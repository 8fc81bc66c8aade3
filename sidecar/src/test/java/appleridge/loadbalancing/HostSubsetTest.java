package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The part of a large fleet that a sidecar sends to. */
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
                "each request would pay for a connection of its own");
        assertEquals(0, sidecar.closedConnections());
    }

    @Test
    void subsetsOfManySidecarsCoverTheFleetEvenly() {
        int[] askedBy = new int[60];
        for (int rank = 0; rank < 95; rank++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(rank, 95).withHosts(60);
            sidecar.serve(0, 30, 0, 20 * MS);
            sidecar.hostsSentTo(0).forEach(id -> askedBy[id.intValue()]++);
        }
        // 95 times 6 over 60 are 9.5 each; random positions would range from 3 to 18.
        assertTrue(Arrays.stream(askedBy).min().orElseThrow() >= 8, Arrays.toString(askedBy));
        assertTrue(Arrays.stream(askedBy).max().orElseThrow() <= 11, Arrays.toString(askedBy));
    }

    /** Without ranks, all sidecars must not end up on the same six hosts. */
    @Test
    void withoutRanksSubsetsAreDrawnAtRandom() {
        int[] askedBy = new int[60];
        for (int seed = 100; seed < 195; seed++) {
            SidecarHarness sidecar = SidecarHarness.ofMany(-1, 95, seed).withHosts(60);
            sidecar.serve(0, 30, 0, 20 * MS);
            sidecar.hostsSentTo(0).forEach(id -> askedBy[id.intValue()]++);
        }
        assertTrue(Arrays.stream(askedBy).max().orElseThrow() < 30, Arrays.toString(askedBy));
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
        long early = sidecar.closedConnections();
        for (int id = 1_960; id < 2_000; id++) {
            sidecar.outcome(sidecar.sends.get(id), Outcome.OK);
        }
        int quiet = sidecar.sends.size();
        for (int id = 3_000; id < 3_200; id++) {
            sidecar.serve(id, id + 1, 0, 20 * MS);
            sidecar.advance(480 * MS);
        }
        int kept = sidecar.hostsSentTo(quiet + 150).size();
        assertTrue(kept <= 12, "it falls by halves: " + kept);
        assertEquals(
                20 - kept,
                sidecar.closedConnections() - early,
                "their connections would stand idle");
    }

    @Test
    void remainderIsUsedWhileTheSubsetIsUnreachable() {
        SidecarHarness sidecar = SidecarHarness.ofMany(7, 95).withHosts(60);
        sidecar.serve(0, 30, 0, 20 * MS);
        Set<Long> near = sidecar.hostsSentTo(0);
        int served = 0;
        for (int id = 100; id < 200; id++) {
            sidecar.request(id, 0);
            for (int i = 0;
                    i < 3 && !sidecar.sendsOf(id).isEmpty() && sidecar.last().request() == id;
                    i++) {
                boolean down = near.contains(sidecar.last().upstream());
                served += down ? 0 : 1;
                sidecar.advance(10 * MS);
                sidecar.outcome(sidecar.last(), down ? Outcome.CONNECT_FAILED : Outcome.OK);
                if (!down) {
                    break;
                }
            }
        }
        assertTrue(served > 90, "served " + served);
        assertTrue(
                sidecar.closedConnections() > 80,
                "an idle connection outside of the subset is closed");
    }
}
