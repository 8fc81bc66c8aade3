package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the rules on refused and failed requests, bad clients, exits, resource counts and recovery.
 */
class OtherRulesTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void assertViolations(Rule... rules) {
        assertEquals(List.of(rules), fixture.rules());
    }

    // ---- refused and failed requests

    private void giveUp(boolean refused) {
        fixture.at(S).accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.moduleAccepted(CheckerFixture.SIDECAR, 1, 7, fixture.key());
        fixture.after(100 * MS);
        if (refused) {
            fixture.checker.moduleRefused(CheckerFixture.SIDECAR, 1, 7);
        } else {
            fixture.checker.moduleFailed(CheckerFixture.SIDECAR, 1, 7);
        }
    }

    private void answeredAfter(long nanos) {
        long written = fixture.now + nanos;
        fixture.at(written + MS);
        fixture.checker.answered("r", 503, "", -1, written);
    }

    @Test
    void refusedRequestIsAnsweredAtOnce() {
        giveUp(true);
        answeredAfter(10 * MS);
        assertViolations();
    }

    @Test
    void refusalThatIsHeldBackIsReported() {
        giveUp(true);
        answeredAfter(10 * MS + 1);
        assertViolations(Rule.GIVEN_UP_LATE);
    }

    @Test
    void failureThatIsHeldBackIsReported() {
        giveUp(false);
        answeredAfter(10 * MS + 1);
        assertViolations(Rule.GIVEN_UP_LATE);
    }

    @Test
    void refusalMayWaitForTheOpenRequestAhead() {
        fixture.at(S).accepted("first", CheckerFixture.ORDER_CONFIRM, 1500 * MS);
        fixture.idsAhead.put("r", "first");
        giveUp(true);
        long up = fixture.now;
        fixture.at(up + 200 * MS);
        fixture.checker.answered("first", 504, "", -1, up + 199 * MS);
        fixture.checker.answered("r", 503, "", -1, up + 200 * MS);
        assertViolations();
    }

    @Test
    void moduleIdsBelongToOneIncarnation() {
        giveUp(true);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.accepted("s", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.moduleRefused(CheckerFixture.SIDECAR, 2, 7);
        fixture.after(100 * MS).answered("s", 503, "");
        assertViolations();
    }

    // ---- bad clients

    @Test
    void badClientWithoutAnErrorOrCloseIsReported() {
        fixture.at(S);
        fixture.checker.badClientConnected("bad-1", 4 * S);
        fixture.checker.badClientConnected("bad-2", 4 * S);
        fixture.checker.badClientConnected("bad-3", 4 * S);
        fixture.at(4 * S);
        fixture.checker.badClientEnded("bad-1", 400);
        fixture.checker.badClientEnded("bad-2", 0);
        assertViolations();
        fixture.after(1);
        assertViolations(Rule.BAD_CLIENT);
        assertEquals("bad-3", fixture.checker.violations().get(0).subject());
    }

    @Test
    void pauseExtendsTheLimitForBadClients() {
        fixture.at(S);
        fixture.checker.badClientConnected("bad-1", 4 * S);
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, 2 * S, 3 * S);
        fixture.at(5 * S);
        assertViolations();
        fixture.after(1);
        assertViolations(Rule.BAD_CLIENT);
    }

    @Test
    void servedBadClientIsReported() {
        fixture.checker.badClientConnected("bad-1", 4 * S);
        fixture.checker.badClientEnded("bad-1", 200);
        assertViolations(Rule.BAD_CLIENT);
    }

    // ---- exits

    @Test
    void exitWithoutSigtermIsReported() {
        fixture.checker.sidecarSighup(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDECAR, 1, 0);
        assertViolations(Rule.CRASH);
    }

    @Test
    void exitAfterSigtermIsAccepted() {
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDECAR, 1, 0);
        assertViolations();
    }

    @Test
    void sigtermOfAnEarlierProcessDoesNotCount() {
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDECAR, 1, 0);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.checker.sidecarExited(CheckerFixture.SIDECAR, 2, 0);
        assertViolations(Rule.CRASH);
    }

    // ---- resource counts

    @Test
    void countsWithinTheBaselineAreAccepted() {
        ResourceCounts baseline = new ResourceCounts(0, 0, 1, 2, 9, 64, List.of());
        fixture.checker.checkResources(
                CheckerFixture.SIDECAR, new ResourceCounts(0, 0, 1, 2, 9, 64, List.of()), baseline);
        fixture.checker.checkResources(
                "side-1", new ResourceCounts(0, 0, 1, 2, 0, 0, List.of()), baseline);
        assertViolations();
    }

    @Test
    void uncountedConnectionsAreReported() {
        ResourceCounts baseline = new ResourceCounts(0, 0, 1, 2, 9, 64, List.of());
        fixture.checker.checkResources(
                CheckerFixture.SIDECAR, new ResourceCounts(0, 0, 0, 2, 9, 64, List.of()), baseline);
        fixture.checker.checkResources(
                "side-1", new ResourceCounts(0, 0, 1, 1, 9, 64, List.of()), baseline);
        assertViolations(Rule.BOOKS, Rule.BOOKS);
    }

    @Test
    void anyCountAboveTheBaselineIsALeak() {
        List<ResourceCounts> leaks =
                List.of(
                        new ResourceCounts(1, 0, 0, 0, 0, 0, List.of()),
                                new ResourceCounts(0, 1, 0, 0, 0, 0, List.of()),
                        new ResourceCounts(0, 0, 1, 0, 0, 0, List.of()),
                                new ResourceCounts(0, 0, 0, 1, 0, 0, List.of()),
                        new ResourceCounts(0, 0, 0, 0, 1, 0, List.of()),
                                new ResourceCounts(0, 0, 0, 0, 0, 1, List.of()));
        for (int i = 0; i < leaks.size(); i++) {
            fixture.checker.checkResources("side-" + i, leaks.get(i), ResourceCounts.empty());
            assertEquals(i + 1, fixture.rules().size());
            assertEquals(Rule.LEAK, fixture.rules().get(i));
        }
    }

    @Test
    void escapedExceptionIsACrash() {
        ResourceCounts now = new ResourceCounts(0, 0, 0, 0, 0, 0, List.of("NullPointerException"));
        fixture.checker.checkResources(CheckerFixture.SIDECAR, now, ResourceCounts.empty());
        assertViolations(Rule.CRASH);
        assertTrue(fixture.checker.violations().get(0).what().contains("NullPointerException"));
    }

    // ---- recovery

    private void sendRequests(int from, int count, int unserved) {
        for (int i = from; i < from + count; i++) {
            fixture.accepted("r" + i, CheckerFixture.STOCK_CHECK, 400 * MS).after(MS);
            if (i - from < unserved) {
                fixture.answered("r" + i, 503, "");
            } else {
                fixture.served("a-1", "r" + i);
            }
        }
    }

    private void playRecovery(long after, int unserved) {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(S + after);
        sendRequests(0, 300, unserved);
        fixture.after(S);
        fixture.checker.dayEnded();
    }

    @Test
    void onePercentOfFailuresAfterRecoveryIsAccepted() {
        playRecovery(10 * S, 3);
        assertViolations();
        assertEquals(300, fixture.checker.judgedForRecovery());
    }

    @Test
    void moreThanOnePercentOfFailuresAfterRecoveryIsReported() {
        playRecovery(10 * S, 4);
        assertViolations(Rule.NOT_RECOVERED);
    }

    @Test
    void requestsBeforeTheRecoveryTimeDoNotCount() {
        playRecovery(9 * S, 200);
        assertViolations();
    }

    @Test
    void dayWhoseFaultsNeverEndIsNotChecked() {
        fixture.at(20 * S);
        sendRequests(0, 300, 300);
        fixture.after(S);
        fixture.checker.dayEnded();
        assertViolations();
    }

    @Test
    void requestWithoutAnAnswerOrConnectionCounts() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(12 * S);
        for (int i = 0; i < 2; i++) {
            fixture.checker.requestStarted(
                    new ClientAttempt(
                            "r" + i,
                            "r" + i,
                            0,
                            CheckerFixture.SIDECAR,
                            0,
                            0,
                            null,
                            i,
                            fixture.now,
                            400 * MS,
                            500 * MS));
        }
        fixture.at(13 * S);
        fixture.checker.dayEnded();
        assertViolations(Rule.NOT_RECOVERED);
    }

    @Test
    void requestCountsOnlyIfItsClientWaitedForTheDeadline() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(12 * S);
        for (int i = 0; i < 4; i++) {
            fixture.accepted("r" + i, CheckerFixture.STOCK_CHECK, 400 * MS);
        }
        fixture.after(399 * MS);
        fixture.checker.clientGaveUp("r0");
        fixture.checker.clientGaveUp("r1");
        fixture.after(MS);
        fixture.checker.clientGaveUp("r2");
        fixture.checker.clientGaveUp("r3");
        fixture.after(S);
        fixture.checker.dayEnded();
        assertViolations(Rule.NOT_RECOVERED);
        assertEquals(2, fixture.checker.judgedForRecovery());
    }

    @Test
    void impatientAndStillWaitingClientsDoNotCount() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(12 * S);
        for (int i = 0; i < 9; i++) {
            fixture.accepted("i" + i, CheckerFixture.STOCK_CHECK, 400 * MS, 399 * MS);
            fixture.checker.clientGaveUp("i" + i);
        }
        for (int i = 0; i < 9; i++) {
            fixture.accepted("w" + i, CheckerFixture.STOCK_CHECK, 400 * MS);
        }
        fixture.after(419 * MS);
        fixture.checker.dayEnded();
        assertViolations();
        assertEquals(0, fixture.checker.judgedForRecovery());
    }

    @Test
    void sidecarThatNeverBecomesReadyHasNotRecovered() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.checker.sidecarStarted("side-1", 1);
        fixture.checker.sidecarReady("side-1", 1);
        fixture.at(11 * S);
        fixture.checker.dayEnded();
        assertViolations(Rule.NOT_RECOVERED);
    }

    @Test
    void sidecarThatHasJustStartedNeedNotBeReady() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.at(11 * S - 1);
        fixture.checker.dayEnded();
        assertViolations();
    }
}
