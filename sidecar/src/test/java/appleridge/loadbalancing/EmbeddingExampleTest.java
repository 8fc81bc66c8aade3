package appleridge.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's embedding example, compiled and run. */
class EmbeddingExampleTest {

    @Test
    void hostDrivesThePolicy() {
        // The host's side: carries out the policy's actions; here it only records them.
        SidecarHarness sidecar =
                new SidecarHarness(SidecarHarness.settings(SidecarHarness.IDEMPOTENT), 42);
        LoadBalancingPolicy balancer = sidecar.policy;
        long now = sidecar.now;

        balancer.onEndpointUpdate(
                now,
                UpdateKind.CACHED_SNAPSHOT,
                List.of(
                        new UpstreamHost(1, 0, 0, 0, HostState.READY, 1, 0),
                        new UpstreamHost(2, 0, 0, 0, HostState.READY, 1, 0)));
        balancer.onRequest(now, new RequestInfo(100, 0, 0, 0, 1_000_000_000L, 0, false, false));
        SidecarHarness.Sent sent = sidecar.last();
        assertEquals(100, sent.request());

        now += 20_000_000;
        balancer.onAttemptEnded(
                now, 100, 0, sent.upstream(), Outcome.OK, 20_000_000, true, new float[0]);
        assertTrue(
                sidecar.answers.isEmpty(),
                "the host has passed the answer on: no other one is due");

        // A restart: a new instance, a new seed, no memory.
        SidecarHarness restarted =
                new SidecarHarness(SidecarHarness.settings(SidecarHarness.IDEMPOTENT), 43);
        restarted.policy.onEndpointUpdate(now, UpdateKind.CACHED_SNAPSHOT, List.of());
        restarted.request(101, 0);
        assertEquals(List.of("refuse 101"), restarted.answers);
    }
}
