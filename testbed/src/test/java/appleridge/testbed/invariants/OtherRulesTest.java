package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules on what was given up, bad clients, ends, books and recovery. */
class OtherRulesTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void assertBroken(Rule... rules) {
        assertEquals(List.of(rules), fixture.rules());
    }

    // ---- given up

    private void givenUp(boolean refused) {
        fixture.at(S).taken("r", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.moduleAccepted(CheckerFixture.SIDE, 1, 7, fixture.key());
        fixture.after(100 * MS);
        if (refused) {
            fixture.checker.moduleRefused(CheckerFixture.SIDE, 1, 7);
        } else {
            fixture.checker.moduleFailed(CheckerFixture.SIDE, 1, 7);
        }
    }

    private void answeredAfter(long nanos) {
        long written = fixture.now + nanos;
        fixture.at(written + MS);
        fixture.checker.answered("r", 503, "", -1, written);
    }

    @Test
    void whatIsGivenUpIsAnsweredAtOnce() {
        givenUp(true);
        answeredAfter(10 * MS);
        assertBroken();
    }

    @Test
    void heldBackItIsLate() {
        givenUp(true);
        answeredAfter(10 * MS + 1);
        assertBroken(Rule.GIVEN_UP_LATE);
    }

    @Test
    void alsoWhatHasFailed() {
        givenUp(false);
        answeredAfter(10 * MS + 1);
        assertBroken(Rule.GIVEN_UP_LATE);
    }

    @Test
    void behindAnOpenOneItGoesAfterThat() {
        fixture.at(S).taken("first", CheckerFixture.ORDER_CONFIRM, 1500 * MS);
        fixture.ahead.put("r", "first");
        givenUp(true);
        long up = fixture.now;
        fixture.at(up + 200 * MS);
        fixture.checker.answered("first", 504, "", -1, up + 199 * MS);
        fixture.checker.answered("r", 503, "", -1, up + 200 * MS);
        assertBroken();
    }

    @Test
    void anotherProcessesIdsAreOthers() {
        givenUp(true);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.taken("s", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.checker.moduleRefused(CheckerFixture.SIDE, 2, 7);
        fixture.after(100 * MS).answered("s", 503, "");
        assertBroken();
    }

    // ---- bad clients

    @Test
    void aBadClientGetsAnErrorOrAClose() {
        fixture.at(S);
        fixture.checker.badClientConnected("bad-1", 4 * S);
        fixture.checker.badClientConnected("bad-2", 4 * S);
        fixture.checker.badClientConnected("bad-3", 4 * S);
        fixture.at(4 * S);
        fixture.checker.badClientEnded("bad-1", 400);
        fixture.checker.badClientEnded("bad-2", 0);
        assertBroken();
        fixture.after(1);
        assertBroken(Rule.BAD_CLIENT);
        assertEquals("bad-3", fixture.checker.violations().get(0).subject());
    }

    @Test
    void aPausePutsThatOff() {
        fixture.at(S);
        fixture.checker.badClientConnected("bad-1", 4 * S);
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, 2 * S, 3 * S);
        fixture.at(5 * S);
        assertBroken();
        fixture.after(1);
        assertBroken(Rule.BAD_CLIENT);
    }

    @Test
    void aBadClientIsNotServed() {
        fixture.checker.badClientConnected("bad-1", 4 * S);
        fixture.checker.badClientEnded("bad-1", 200);
        assertBroken(Rule.BAD_CLIENT);
    }

    // ---- ends

    @Test
    void noOneEndsUntold() {
        fixture.checker.sidecarSighup(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDE, 1, 0);
        assertBroken(Rule.CRASH);
    }

    @Test
    void onSigtermItMay() {
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDE, 1, 0);
        assertBroken();
    }

    @Test
    void anEarlierProcessesSigtermIsNotItsOwn() {
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDE, 1, 0);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.checker.sidecarExited(CheckerFixture.SIDE, 2, 0);
        assertBroken(Rule.CRASH);
    }

    // ---- books

    @Test
    void emptyBooksAreFine() {
        ResourceCounts baseline = new ResourceCounts(0, 0, 1, 2, 9, 64, List.of());
        fixture.checker.checkResources(
                CheckerFixture.SIDE, new ResourceCounts(0, 0, 1, 2, 9, 64, List.of()), baseline);
        fixture.checker.checkResources(
                "side-1", new ResourceCounts(0, 0, 1, 2, 0, 0, List.of()), baseline);
        assertBroken();
    }

    @Test
    void connectionsThatAreNotCountedAreTold() {
        ResourceCounts baseline = new ResourceCounts(0, 0, 1, 2, 9, 64, List.of());
        fixture.checker.checkResources(
                CheckerFixture.SIDE, new ResourceCounts(0, 0, 0, 2, 9, 64, List.of()), baseline);
        fixture.checker.checkResources(
                "side-1", new ResourceCounts(0, 0, 1, 1, 9, 64, List.of()), baseline);
        assertBroken(Rule.BOOKS, Rule.BOOKS);
    }

    @Test
    void whateverIsLeftIsALeak() {
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
    void anExceptionThatEscapesIsACrash() {
        ResourceCounts now = new ResourceCounts(0, 0, 0, 0, 0, 0, List.of("NullPointerException"));
        fixture.checker.checkResources(CheckerFixture.SIDE, now, ResourceCounts.empty());
        assertBroken(Rule.CRASH);
        assertTrue(fixture.checker.violations().get(0).what().contains("NullPointerException"));
    }

    // ---- recovery

    private void asksAndIsServed(int from, int count, int unserved) {
        for (int i = from; i < from + count; i++) {
            fixture.taken("r" + i, CheckerFixture.STOCK_CHECK, 400 * MS).after(MS);
            if (i - from < unserved) {
                fixture.answered("r" + i, 503, "");
            } else {
                fixture.served("a-1", "r" + i);
            }
        }
    }

    private void recoveredBy(long after, int unserved) {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(S + after);
        asksAndIsServed(0, 300, unserved);
        fixture.after(S);
        fixture.checker.dayEnded();
    }

    @Test
    void tenSecondsAfterTheLastFaultAllIsServed() {
        recoveredBy(10 * S, 3);
        assertBroken();
        assertEquals(300, fixture.checker.judgedForRecovery());
    }

    @Test
    void butForOneInAHundred() {
        recoveredBy(10 * S, 4);
        assertBroken(Rule.NOT_RECOVERED);
    }

    @Test
    void whatIsAskedBeforeDoesNotCount() {
        recoveredBy(9 * S, 200);
        assertBroken();
    }

    @Test
    void aDayWhoseFaultsNeverEndIsNotJudged() {
        fixture.at(20 * S);
        asksAndIsServed(0, 300, 300);
        fixture.after(S);
        fixture.checker.dayEnded();
        assertBroken();
    }

    @Test
    void oneThatGetsNoAnswerOrNoConnectionCounts() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(12 * S);
        for (int i = 0; i < 2; i++) {
            fixture.checker.requestStarted(
                    new ClientAttempt(
                            "r" + i,
                            "r" + i,
                            0,
                            CheckerFixture.SIDE,
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
        assertBroken(Rule.NOT_RECOVERED);
    }

    @Test
    void whoseConnectionAnotherClosesDoesNotButWhoLeavesUnansweredDoes() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(12 * S);
        for (int i = 0; i < 4; i++) {
            fixture.taken("r" + i, CheckerFixture.STOCK_CHECK, 400 * MS);
        }
        fixture.after(399 * MS);
        fixture.checker.clientGaveUp("r0");
        fixture.checker.clientGaveUp("r1");
        fixture.after(MS);
        fixture.checker.clientGaveUp("r2");
        fixture.checker.clientGaveUp("r3");
        fixture.after(S);
        fixture.checker.dayEnded();
        assertBroken(Rule.NOT_RECOVERED);
        assertEquals(2, fixture.checker.judgedForRecovery());
    }

    @Test
    void theImpatientAndThoseStillWaitingDoNot() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.at(12 * S);
        for (int i = 0; i < 9; i++) {
            fixture.taken("i" + i, CheckerFixture.STOCK_CHECK, 400 * MS, 399 * MS);
            fixture.checker.clientGaveUp("i" + i);
        }
        for (int i = 0; i < 9; i++) {
            fixture.taken("w" + i, CheckerFixture.STOCK_CHECK, 400 * MS);
        }
        fixture.after(419 * MS);
        fixture.checker.dayEnded();
        assertBroken();
        assertEquals(0, fixture.checker.judgedForRecovery());
    }

    @Test
    void sidecarThatNeverBecomesReadyHasNotRecovered() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.checker.sidecarStarted("side-1", 1);
        fixture.checker.sidecarReady("side-1", 1);
        fixture.at(11 * S);
        fixture.checker.dayEnded();
        assertBroken(Rule.NOT_RECOVERED);
    }

    @Test
    void oneThatHasJustBegunNeedNotBeReady() {
        fixture.at(S);
        fixture.checker.lastFaultEnded();
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.at(11 * S - 1);
        fixture.checker.dayEnded();
        assertBroken();
    }
}
