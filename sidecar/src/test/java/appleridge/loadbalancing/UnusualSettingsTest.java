package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Settings that differ much from the usual deployments: an embedder without capabilities, single
 * hosts, large fleets and emptied endpoint lists.
 */
class UnusualSettingsTest {

    /** A sidecar whose embedder supports nothing but sending. */
    private static SidecarHarness withoutCapabilities(int maxAttempts, RequestClass... classes) {
        Capabilities none = new Capabilities(false, false, false, false, false, maxAttempts, 0, 0);
        SafetyLimits limits = new SafetyLimits(20 * MS, 10_000 * MS, 250 * MS, 1, 0, 1, 0);
        return new SidecarHarness(
                new PolicySettings(
                        0,
                        1,
                        0,
                        0,
                        DiscoveryMode.PUSHED,
                        WeightKind.SILENT,
                        List.of(classes),
                        List.of(),
                        none,
                        limits,
                        List.of(),
                        true,
                        0),
                5);
    }

    @Test
    void singleHostIsTriedAgainAfterAFailedConnect() {
        SidecarHarness sidecar = withoutCapabilities(3, SidecarHarness.NON_IDEMPOTENT).withHosts(1);
        sidecar.serve(0, 50, 0, 10 * MS);
        assertEquals(50, sidecar.sends.size());
        sidecar.request(100, 0);
        sidecar.outcome(sidecar.last(), Outcome.CONNECT_FAILED);
        assertEquals(
                List.of("reject 100"), sidecar.answers, "no other host, and it was not executed");
        sidecar.advance(2_000 * MS);
        sidecar.request(101, 0);
        assertEquals(101, sidecar.last().request());
    }

    @Test
    void everyHostOfALargeFleetGetsItsTurn() {
        SidecarHarness sidecar = withoutCapabilities(3, SidecarHarness.IDEMPOTENT).withHosts(500);
        sidecar.serve(0, 500, 0, MS);
        assertEquals(
                500,
                sidecar.sends.stream()
                        .mapToLong(SidecarHarness.SentAttempt::upstream)
                        .distinct()
                        .count());
    }

    @Test
    void maxAttemptsOfOneAllowsNoRetry() {
        SidecarHarness sidecar = withoutCapabilities(1, SidecarHarness.IDEMPOTENT).withHosts(3);
        sidecar.request(1, 0);
        sidecar.outcome(sidecar.last(), Outcome.REJECTED);
        assertEquals(1, sidecar.sends.size());
        assertEquals(List.of("reject 1"), sidecar.answers);
    }

    @Test
    void unsupportedActionsAreNeverCalled() {
        SidecarHarness sidecar =
                withoutCapabilities(3, SidecarHarness.IDEMPOTENT, SidecarHarness.NON_IDEMPOTENT)
                        .withHosts(2);
        for (int i = 0; i < 40; i++) {
            sidecar.request(i, i % 2);
        }
        sidecar.policy.onClientDisconnected(sidecar.now, sidecar.last().request());
        sidecar.advance(3_000 * MS);
        assertTrue(
                sidecar.log.stream()
                        .noneMatch(l -> l.matches("(cancel|health-check|gossip|close).*")),
                "unsupported action called: " + sidecar.log);
        assertTrue(sidecar.log.stream().anyMatch(l -> l.startsWith("reject")));
        assertTrue(
                sidecar.log.stream().noneMatch(l -> l.matches("reject \\d+ [1-9].*")),
                "rejected with a Retry-After time");
    }

    @Test
    void emptiedAndRefilledEndpointListIsUsedAgain() {
        SidecarHarness sidecar = withoutCapabilities(3, SidecarHarness.IDEMPOTENT).withHosts(4);
        sidecar.serve(0, 20, 0, 10 * MS);
        sidecar.policy.onEndpointUpdate(sidecar.now, UpdateKind.SNAPSHOT, List.of());
        sidecar.request(100, 0);
        assertEquals(List.of("reject 100"), sidecar.answers, "no host is ready");
        sidecar.withHosts(4);
        sidecar.request(101, 0);
        assertEquals(101, sidecar.last().request());
    }

    @Test
    void loadReportsDoNotAffectHostSelection() {
        SidecarHarness withoutReports =
                withoutCapabilities(3, SidecarHarness.IDEMPOTENT).withHosts(5);
        SidecarHarness withReports = withoutCapabilities(3, SidecarHarness.IDEMPOTENT).withHosts(5);
        for (int i = 0; i < 30; i++) {
            withoutReports.request(i, 0);
            withReports.request(i, 0);
            withoutReports.advance(MS);
            withReports.advance(MS);
            SidecarHarness.SentAttempt sent = withoutReports.last();
            withoutReports.policy.onAttemptEnded(
                    withoutReports.now, i, 0, sent.upstream(), Outcome.OK, MS, true, new float[0]);
            float[] report = {9, -1, 7e9f};
            withReports.policy.onAttemptEnded(
                    withReports.now, i, 0, sent.upstream(), Outcome.OK, MS, true, report);
        }
        assertEquals(withoutReports.log, withReports.log);
    }

    @Test
    void startedStreamIsNeitherRetriedNorCutAtTheDeadline() {
        RequestClass stream =
                new RequestClass(
                        500 * MS,
                        0,
                        1_000 * MS,
                        1,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        true);
        SidecarHarness sidecar =
                new SidecarHarness(SidecarHarness.settings(stream), 3).withHosts(3);
        sidecar.request(1, 0);
        SidecarHarness.SentAttempt sent = sidecar.last();
        sidecar.advance(100 * MS);
        sidecar.policy.onResponseStarted(sidecar.now, 1, 0, sent.upstream(), 100 * MS);
        sidecar.advance(2_000 * MS);
        assertEquals(List.of(), sidecar.answers);
        sidecar.outcome(sent, Outcome.RESET);
        assertEquals(1, sidecar.sends.size());
        assertEquals(
                List.of("reject 1"),
                sidecar.answers,
                "an idempotent request may be retried by its client");
    }

    @Test
    void nonIdempotentRequestIsNeverRetriedAfterPossibleExecution() {
        SidecarHarness sidecar = withoutCapabilities(3, SidecarHarness.NON_IDEMPOTENT).withHosts(6);
        for (Outcome outcome : List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR)) {
            sidecar.request(outcome.ordinal(), 0);
            sidecar.outcome(sidecar.last(), outcome);
            assertEquals(1, sidecar.sendsOf(outcome.ordinal()).size(), outcome.name());
        }
    }

    @Test
    void nothingIsSentWhileAllHostsDrain() {
        SidecarHarness sidecar = withoutCapabilities(3, SidecarHarness.IDEMPOTENT).withHosts(2);
        sidecar.policy.onEndpointUpdate(
                sidecar.now,
                UpdateKind.DELTA,
                List.of(
                        SidecarHarness.upstreamHost(0, HostState.DRAINING, 0),
                        SidecarHarness.upstreamHost(1, HostState.DRAINING, 0)));
        sidecar.request(1, 0);
        assertEquals(0, sidecar.sends.size());
        assertEquals(List.of("reject 1"), sidecar.answers);
    }
}
