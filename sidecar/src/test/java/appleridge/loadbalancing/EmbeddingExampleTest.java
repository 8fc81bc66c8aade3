package appleridge.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An example of how to embed the policy, compiled and run. */
class EmbeddingExampleTest {

    @Test
    void embedderDrivesThePolicy() {
        // The harness is the embedder; it records the policy's actions instead of carrying them
        // out.
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
        SidecarHarness.SentAttempt sent = sidecar.last();
        assertEquals(100, sent.request());

        now += 20_000_000;
        balancer.onAttemptEnded(
                now, 100, 0, sent.upstream(), Outcome.OK, 20_000_000, true, new float[0]);
        assertTrue(
                sidecar.answers.isEmpty(),
                "the embedder has passed the response on, so no other answer is due");

        // A restarted sidecar has a new instance with a new seed and no state.
        SidecarHarness restarted =
                new SidecarHarness(SidecarHarness.settings(SidecarHarness.IDEMPOTENT), 43);
        restarted.policy.onEndpointUpdate(now, UpdateKind.CACHED_SNAPSHOT, List.of());
        restarted.request(101, 0);
        assertEquals(List.of("reject 101"), restarted.answers);
    }
}
