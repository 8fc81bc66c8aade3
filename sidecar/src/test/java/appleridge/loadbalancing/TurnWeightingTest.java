package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Turns by registered size. */
class TurnWeightingTest {
    @Test
    void turnsFollowTheRegisteredSize() {
        SidecarHarness sidecar =
                new SidecarHarness(
                        TestSettings.of(IDEMPOTENT).weightKind(WeightKind.ROUGH).build(), 7);
        sidecar.policy.onEndpointUpdate(
                sidecar.now,
                UpdateKind.CACHED_SNAPSHOT,
                List.of(
                        new UpstreamHost(0, 0, 0, 0, HostState.READY, 4, 0),
                        new UpstreamHost(1, 0, 0, 0, HostState.READY, 2, 0),
                        new UpstreamHost(2, 0, 0, 0, HostState.READY, 2, 0)));
        sidecar.serve(0, 400, 0, 20 * MS);
        assertEquals(200, sidecar.sentTo(0, 0), 2);
        assertEquals(100, sidecar.sentTo(1, 0), 2);
    }

    @Test
    void implausibleWeightsAreIgnored() {
        for (float weight : new float[] {0, -1, Float.NaN, Float.POSITIVE_INFINITY}) {
            SidecarHarness sidecar =
                    new SidecarHarness(
                            TestSettings.of(IDEMPOTENT).weightKind(WeightKind.NOMINAL).build(), 7);
            sidecar.policy.onEndpointUpdate(
                    sidecar.now,
                    UpdateKind.CACHED_SNAPSHOT,
                    List.of(
                            new UpstreamHost(0, 0, 0, 0, HostState.READY, weight, sidecar.now - MS),
                            new UpstreamHost(1, 0, 0, 0, HostState.READY, 1, 0)));
            sidecar.serve(0, 100, 0, 20 * MS);
            assertTrue(sidecar.sentTo(1, 0) > 50, "weight " + weight);
            assertEquals(100, sidecar.sends.size());
        }
    }
}
