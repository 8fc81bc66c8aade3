package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.KEYED;
import static appleridge.loadbalancing.SidecarHarness.KEYED_BY_CELL;
import static appleridge.loadbalancing.SidecarHarness.MS;
import static appleridge.loadbalancing.SidecarHarness.NON_IDEMPOTENT;
import static appleridge.loadbalancing.SidecarHarness.settings;
import static appleridge.loadbalancing.SidecarHarness.upstreamHost;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests are retried, and at which hosts. */
class RetryPolicyTest {
    @Test
    void timeoutAtTheDeadlineIsAnsweredOnceAsFailed() {
        SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(3);
        sidecar.request(1, 0);
        SidecarHarness.SentAttempt sent = sidecar.last();
        sidecar.now += 1_000 * MS;
        sidecar.outcome(sent, Outcome.TIMEOUT);
        sidecar.advance(100 * MS);
        assertEquals(List.of("fail 1"), sidecar.answers);
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyAfterProofThatItWasNotExecuted() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            SidecarHarness sidecar = SidecarHarness.of(NON_IDEMPOTENT).withHosts(4);
            sidecar.request(1, 0);
            sidecar.outcome(sidecar.last(), outcome);
            assertEquals(
                    outcome.provesNotExecuted() ? 2 : 1, sidecar.sends.size(), outcome.toString());
            if (!outcome.provesNotExecuted()) {
                assertEquals(List.of("fail 1"), sidecar.answers);
            }
        }
    }

    @Test
    void keyedRetryStaysInItsCellAndWithinTheKeysTimeToLive() {
        SidecarHarness sidecar = SidecarHarness.of(KEYED_BY_CELL).withHosts(9);
        sidecar.request(1, 0);
        long cell = sidecar.last().upstream() / 3;
        sidecar.outcome(sidecar.last(), Outcome.ERROR);
        assertEquals(2, sidecar.sends.size());
        assertEquals(cell, sidecar.last().upstream() / 3);
        sidecar.now += 699 * MS;
        sidecar.outcome(sidecar.last(), Outcome.ERROR);
        assertEquals(2, sidecar.sends.size(), "the key is about to expire");
        assertEquals(List.of("fail 1"), sidecar.answers);
    }

    @Test
    void keyedRequestWithScopeAllIsRejectedAfterPossibleExecution() {
        SidecarHarness sidecar = SidecarHarness.of(KEYED).withHosts(1);
        sidecar.request(1, 0);
        sidecar.outcome(sidecar.last(), Outcome.RESET);
        sidecar.advance(1_000 * MS);
        assertEquals(List.of("reject 1"), sidecar.answers);
    }

    @Test
    void retryIsRefusedAfterTheMaximumOfAttempts() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(9);
        sidecar.request(1, 0);
        for (int i = 0; i < 5 && sidecar.answers.isEmpty(); i++) {
            sidecar.outcome(sidecar.last(), Outcome.REJECTED);
        }
        assertEquals(3, sidecar.sends.size());
        assertEquals(List.of("reject 1"), sidecar.answers);
    }

    @Test
    void unansweredAttemptIsNotHedged() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(4);
        sidecar.serve(0, 80, 0, 20 * MS);
        sidecar.request(100, 0);
        sidecar.advance(300 * MS);
        assertEquals(
                1, sidecar.sendsOf(100).size(), "a second attempt while the first is outstanding");
    }

    /**
     * Guards against a budget that leaves no retries for a burst of failures: of ten requests that
     * fail in a row after twenty successful ones, those within the budget are retried.
     */
    @Test
    void retriesAreLimitedToAFifthOfTheRequests() {
        SidecarHarness sidecar = SidecarHarness.of(IDEMPOTENT).withHosts(4);
        sidecar.serve(0, 20, 0, MS);
        int retries = 0;
        for (int id = 100; id < 110; id++) {
            sidecar.request(id, 0);
            sidecar.outcome(sidecar.last(), Outcome.RESET);
            if (sidecar.sendsOf(id).size() == 2) {
                retries++;
                sidecar.outcome(sidecar.last(), Outcome.OK);
            }
        }
        assertTrue(
                retries >= 6 && retries <= 8, "the initial one and a fifth of thirty: " + retries);
    }

    private static final long NOW = 10_000 * MS;

    private final HostRegistry registry =
            new HostRegistry((now, endpoint) -> new TrackedHost(endpoint, null, null));

    /**
     * Decides on a retry of a request whose only attempt was sent 100 ms ago and has just ended.
     */
    private RetryDecision decideAfter(
            RequestClass kind, Outcome outcome, long remaining, RetryBudget budget) {
        registry.apply(NOW, UpdateKind.SNAPSHOT, List.of(upstreamHost(0), upstreamHost(7)));
        TrackedRequest request =
                new TrackedRequest(
                        new RequestInfo(1, 0, 0, 0, remaining, 0, false, false),
                        kind,
                        NOW - 100 * MS,
                        0,
                        MS);
        TrackedAttempt attempt = new TrackedAttempt(registry.ready().get(0), NOW - 100 * MS);
        request.addAttempt(attempt);
        attempt.end(outcome);
        return new RetryPolicy(settings(kind), registry, budget)
                .decideAndCharge(NOW, request, attempt);
    }

    @Test
    void refusedRetryNamesTheRuleThatRefusesIt() {
        RetryBudget spent = new RetryBudget();
        spent.tryAcquire();
        long second = 1_000 * MS;
        assertEquals(
                RetryDecision.ALLOWED,
                decideAfter(IDEMPOTENT, Outcome.RESET, second, new RetryBudget()));
        assertEquals(
                RetryDecision.ALLOWED,
                decideAfter(NON_IDEMPOTENT, Outcome.REJECTED, second, spent),
                "not executed: takes nothing from the budget");
        assertEquals(
                RetryDecision.RETRY_BUDGET_EXHAUSTED,
                decideAfter(IDEMPOTENT, Outcome.RESET, second, spent));
        assertEquals(
                RetryDecision.NON_IDEMPOTENT,
                decideAfter(NON_IDEMPOTENT, Outcome.RESET, second, new RetryBudget()));
        assertEquals(
                RetryDecision.NO_ELIGIBLE_HOST,
                decideAfter(KEYED_BY_CELL, Outcome.RESET, second, new RetryBudget()));
        assertEquals(
                RetryDecision.DEADLINE_PASSED,
                decideAfter(IDEMPOTENT, Outcome.RESET, 100 * MS, new RetryBudget()));
    }

    @Test
    void keyCountsAsExpiredOneClockGranuleEarly() {
        for (long ttl : new long[] {105 * MS, 105 * MS + 1}) {
            RequestClass keyed =
                    new RequestClass(
                            500 * MS,
                            0,
                            1_000 * MS,
                            1,
                            0,
                            Idempotency.IDEMPOTENT_BY_KEY,
                            DeduplicationScope.ALL,
                            ttl,
                            false);
            assertEquals(
                    ttl == 105 * MS ? RetryDecision.IDEMPOTENCY_KEY_EXPIRED : RetryDecision.ALLOWED,
                    decideAfter(keyed, Outcome.RESET, 1_000 * MS, new RetryBudget()));
        }
    }
}
