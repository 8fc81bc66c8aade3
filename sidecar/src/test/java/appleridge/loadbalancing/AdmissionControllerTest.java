package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.NON_IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that are sent, queued or rejected. */
class AdmissionControllerTest {
    @Test
    void requestIsRejectedAtOnceWithoutReadyHosts() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(0);
        sidecar.request(1, 0);
        assertEquals(List.of("reject 1"), sidecar.answers);
    }

    @Test
    void queuedRequestsAreAnsweredBeforeTheirDeadline() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(1);
        sidecar.burst(0, 50, 0);
        sidecar.advance(1_000 * MS);
        assertEquals(50, new HashSet<>(sidecar.answers).size());
        assertEquals(50, sidecar.answers.size());
    }

    @Test
    void requestWithoutRemainingTimeIsRejectedAtOnce() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(3);
        sidecar.request(1, 0, 0);
        assertEquals(List.of("reject 1"), sidecar.answers);
        assertTrue(sidecar.sends.isEmpty());
    }

    @Test
    void requestsAreRejectedWhileDiscoveryShowsNoHosts() {
        SidecarHarness sidecar =
                new SidecarHarness(
                        settings(DiscoveryMode.SUBSCRIBED, NON_IDEMPOTENT, IDEMPOTENT), 7);
        sidecar.request(1, 0);
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.CACHED_SNAPSHOT, List.of());
        sidecar.request(2, 1);
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.FAILURE, List.of());
        sidecar.request(3, 0);
        assertEquals(List.of("reject 1", "reject 2", "reject 3"), sidecar.answers);
    }

    @Test
    void queuedRequestsAreSentNewestFirst() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(1);
        sidecar.burst(0, 6, 0);
        int sentAtOnce = sidecar.sends.size();
        assertTrue(sentAtOnce < 6, "some requests are queued");
        sidecar.advance(10 * MS);
        sidecar.outcome(sidecar.sends.get(0), Outcome.OK);
        assertEquals(5, sidecar.sends.get(sentAtOnce).request());
    }

    /** Guards against closed requests that accumulate in the queue below waiting ones. */
    @Test
    void closedRequestsLeaveTheQueue() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(1);
        for (int i = 0; i < 400; i++) {
            sidecar.request(i, 0);
            sidecar.advance(10 * MS);
            if (i % 2 == 0) {
                sidecar.policy.onClientDisconnected(sidecar.now, i);
            }
            assertTrue(
                    sidecar.policy.queuedRequests() <= 100,
                    "more than can wait at a time: " + sidecar.policy.queuedRequests());
        }
        sidecar.advance(1_000 * MS);
        assertEquals(0, sidecar.policy.queuedRequests());
    }

    @Test
    void clientRetryWithObjectiveOutOfReachIsRejectedAtOnceUnderOverload() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(1);
        sidecar.burst(0, 6, 0);
        int sent = sidecar.sends.size();
        sidecar.request(50, 0, 400 * MS);
        assertEquals(
                List.of("reject 50"),
                sidecar.answers,
                "600 ms have passed, the objective is 500 ms");
        assertEquals(sent, sidecar.sends.size());
    }

    @Test
    void mostFrequentRemainingTimeIsTakenForThatOfFirstAttempts() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(1);
        for (int i = 0; i < 30; i++) {
            sidecar.request(i, 0, i % 3 == 2 ? 900 * MS : 600 * MS);
        }
        int answered = sidecar.answers.size();
        sidecar.request(50, 0, 600 * MS);
        assertEquals(
                answered,
                sidecar.answers.size(),
                "600 ms are left to first attempts: queued, not answered");
    }

    @Test
    void requestWhoseLateAnswerKeepsItsValueStaysQueued() {
        RequestClass late =
                new RequestClass(
                        100 * MS,
                        0,
                        1_000 * MS,
                        1,
                        0.9,
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false);
        SidecarHarness sidecar = SidecarHarness.of(late).withHosts(1);
        sidecar.burst(0, 3, 0);
        sidecar.advance(300 * MS);
        assertTrue(
                sidecar.answers.isEmpty(),
                "queued past its objective of 100 ms: " + sidecar.answers);
    }

    @Test
    void leastServedTenantIsSentFirst() {
        SidecarHarness sidecar =
                new SidecarHarness(
                                TestSettings.of(NON_IDEMPOTENT)
                                        .replicas(1)
                                        .tenants(new Tenant(0.5, 10), new Tenant(0.5, 10))
                                        .overQuotaWeight(0.1)
                                        .build(),
                                7)
                        .withHosts(1);
        for (int i = 0; i < 4; i++) {
            sidecar.policy.onRequest(
                    sidecar.now, new RequestInfo(i, 0, 0, 0, 1_000 * MS, 0, false, false));
        }
        sidecar.policy.onRequest(
                sidecar.now, new RequestInfo(10, 0, 1, 0, 1_000 * MS, 0, false, false));
        sidecar.policy.onRequest(
                sidecar.now, new RequestInfo(11, 0, 0, 0, 1_000 * MS, 0, false, false));
        int sentAtOnce = sidecar.sends.size();
        sidecar.advance(10 * MS);
        sidecar.outcome(sidecar.sends.get(0), Outcome.OK);
        assertEquals(
                10,
                sidecar.sends.get(sentAtOnce).request(),
                "the request of the tenant that was sent nothing, not the newest one");
    }
}
