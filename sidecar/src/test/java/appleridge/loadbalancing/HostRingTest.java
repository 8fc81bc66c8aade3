package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.settings;
import static appleridge.loadbalancing.SidecarHarness.upstreamHost;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The random fixed order of hosts and the choice of the less busy of two. */
class HostRingTest {
    @Test
    void turnsAreEvenWhileInFlightCountsTie() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(5);
        List<Long> first = sidecar.takeTurns(5, 0);
        assertEquals(5, new HashSet<>(first).size());
        assertEquals(first, sidecar.takeTurns(5, 5));
        assertEquals(first, sidecar.takeTurns(5, 10));
    }

    @Test
    void everyPermutationIsAboutEquallyLikely() {
        Map<List<Long>, Integer> seen = new HashMap<>();
        for (int seed = 0; seed < 6_000; seed++) {
            SidecarHarness sidecar = new SidecarHarness(settings(IDEMPOTENT), seed).withHosts(3);
            seen.merge(sidecar.takeTurns(3, 0), 1, Integer::sum);
        }
        assertEquals(6, seen.size());
        // 1000 expected each; 150 is over five standard deviations.
        seen.values().forEach(count -> assertTrue(Math.abs(count - 1_000) < 150, seen.toString()));
    }

    @Test
    void lessBusyOfCurrentAndNextHostIsPicked() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(3);
        List<Long> order = sidecar.takeTurns(3, 0);
        sidecar.request(10, 0);
        assertEquals(order.get(0), sidecar.last().upstream());
        sidecar.request(11, 0);
        sidecar.request(12, 0);
        assertEquals(order.get(2), sidecar.last().upstream());
        sidecar.outcome(sidecar.sendsOf(11).get(0), Outcome.OK);
        sidecar.request(13, 0);
        assertEquals(
                order.get(1),
                sidecar.last().upstream(),
                "the current host has one request, the next none");
    }

    @Test
    void ringIsRedrawnOnlyWhenTheReadyHostsChange() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(6);
        List<Long> before = sidecar.takeTurns(6, 0);
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.DELTA, List.of(upstreamHost(3)));
        assertEquals(before, sidecar.takeTurns(6, 20));
        sidecar.policy.onEndpointUpdate(
                sidecar.now, UpdateKind.DELTA, List.of(upstreamHost(3, HostState.GONE, 0)));
        List<Long> after = sidecar.takeTurns(5, 40);
        assertFalse(after.contains(3L));
        before.remove(3L);
        assertNotEquals(before, after, "redrawn: this seed gives another order");
    }
}
