package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.upstreamHost;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The endpoint table. */
class HostRegistryTest {
    @Test
    void drainingAndMissingHostsGetNoNewRequests() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(4);
        sidecar.policy.onEndpointUpdate(
                sidecar.now, UpdateKind.DELTA, List.of(upstreamHost(2, HostState.DRAINING, 0)));
        assertFalse(sidecar.takeTurns(12, 0).contains(2L));
        sidecar.policy.onEndpointUpdate(
                sidecar.now, UpdateKind.SNAPSHOT, List.of(upstreamHost(0), upstreamHost(1)));
        assertEquals(Set.of(0L, 1L), new HashSet<>(sidecar.takeTurns(12, 20)));
    }

    /** Guards against records of gone hosts that accumulate while hosts are replaced. */
    @Test
    void goneHostsAreForgottenOnceNothingIsInFlight() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(2);
        sidecar.request(1, 0);
        for (int id = 2; id < 100; id++) {
            sidecar.policy.onEndpointUpdate(
                    sidecar.now,
                    UpdateKind.SNAPSHOT,
                    List.of(upstreamHost(id), upstreamHost(id + 1)));
        }
        assertTrue(
                sidecar.policy.knownHosts() <= 3,
                "only the ready hosts and the one with a request in flight are kept");
        sidecar.outcome(sidecar.last(), Outcome.OK);
        sidecar.policy.onEndpointUpdate(
                sidecar.now, UpdateKind.DELTA, List.of(upstreamHost(100, HostState.GONE, 0)));
        assertEquals(1, sidecar.policy.knownHosts());
    }
}
