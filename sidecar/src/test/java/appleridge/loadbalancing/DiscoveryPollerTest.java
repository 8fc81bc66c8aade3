package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The subscription to endpoint updates. */
class DiscoveryPollerTest {
    @Test
    void failedSubscriptionKeepsTheEndpointsAndBacksOff() {
        SidecarHarness sidecar =
                new SidecarHarness(settings(DiscoveryMode.SUBSCRIBED, IDEMPOTENT), 7).withHosts(3);
        assertEquals(1, sidecar.subscriptions);
        for (int i = 0; i < 8; i++) {
            sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.FAILURE, List.of());
            sidecar.advance(5_000 * MS);
            assertEquals(i + 2, sidecar.subscriptions);
        }
        sidecar.request(1, 0);
        assertEquals(1, sidecar.sends.size());
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.FAILURE, List.of());
        sidecar.advance(2_000 * MS);
        assertEquals(9, sidecar.subscriptions, "no further subscription within the backoff");
    }

    @Test
    void unansweredSubscriptionIsRepeated() {
        SidecarHarness sidecar =
                new SidecarHarness(settings(DiscoveryMode.SUBSCRIBED, IDEMPOTENT), 7).withHosts(3);
        sidecar.advance(6_000 * MS);
        assertEquals(2, sidecar.subscriptions);
    }
}
