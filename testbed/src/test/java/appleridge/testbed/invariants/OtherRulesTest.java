package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules on what was given up, bad clients, ends, books and recovery. */
class OtherRulesTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;
    private final Scene scene = new Scene();

    private void assertBroken(Rule... rules) {
        assertEquals(List.of(rules), scene.rules());
    }

    // ---- given up

    private void givenUp(boolean refused) {
        scene.at(S).taken("r", Scene.STOCK_CHECK, 400 * MS);
        scene.judge.moduleAccepted(Scene.SIDE, 1, 7, scene.key());
        scene.after(100 * MS);
        if (refused) {
            scene.judge.moduleRefused(Scene.SIDE, 1, 7);
        } else {
            scene.judge.moduleFailed(Scene.SIDE, 1, 7);
        }
    }

    private void answeredAfter(long nanos) {
        long written = scene.now + nanos;
        scene.at(written + MS);
        scene.judge.answered("r", 503, "", -1, written);
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
        scene.at(S).taken("first", Scene.ORDER_CONFIRM, 1500 * MS);
        scene.ahead.put("r", "first");
        givenUp(true);
        long up = scene.now;
        scene.at(up + 200 * MS);
        scene.judge.answered("first", 504, "", -1, up + 199 * MS);
        scene.judge.answered("r", 503, "", -1, up + 200 * MS);
        assertBroken();
    }

    @Test
    void anotherProcessesIdsAreOthers() {
        givenUp(true);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.taken("s", Scene.STOCK_CHECK, 400 * MS);
        scene.judge.moduleRefused(Scene.SIDE, 2, 7);
        scene.after(100 * MS).answered("s", 503, "");
        assertBroken();
    }

    // ---- bad clients

    @Test
    void aBadClientGetsAnErrorOrAClose() {
        scene.at(S);
        scene.judge.badClientConnected("bad-1", 4 * S);
        scene.judge.badClientConnected("bad-2", 4 * S);
        scene.judge.badClientConnected("bad-3", 4 * S);
        scene.at(4 * S);
        scene.judge.badClientEnded("bad-1", 400);
        scene.judge.badClientEnded("bad-2", 0);
        assertBroken();
        scene.after(1);
        assertBroken(Rule.BAD_CLIENT);
        assertEquals("bad-3", scene.judge.violations().get(0).subject());
    }

    @Test
    void aPausePutsThatOff() {
        scene.at(S);
        scene.judge.badClientConnected("bad-1", 4 * S);
        scene.judge.sidecarPaused(Scene.SIDE, 2 * S, 3 * S);
        scene.at(5 * S);
        assertBroken();
        scene.after(1);
        assertBroken(Rule.BAD_CLIENT);
    }

    @Test
    void aBadClientIsNotServed() {
        scene.judge.badClientConnected("bad-1", 4 * S);
        scene.judge.badClientEnded("bad-1", 200);
        assertBroken(Rule.BAD_CLIENT);
    }

    // ---- ends

    @Test
    void noOneEndsUntold() {
        scene.judge.sidecarSighup(Scene.SIDE, 1);
        scene.judge.sidecarExited(Scene.SIDE, 1, 0);
        assertBroken(Rule.CRASH);
    }

    @Test
    void onSigtermItMay() {
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.judge.sidecarExited(Scene.SIDE, 1, 0);
        assertBroken();
    }

    @Test
    void anEarlierProcessesSigtermIsNotItsOwn() {
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.judge.sidecarExited(Scene.SIDE, 1, 0);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.judge.sidecarExited(Scene.SIDE, 2, 0);
        assertBroken(Rule.CRASH);
    }

    // ---- books

    @Test
    void emptyBooksAreFine() {
        ResourceCounts baseline = new ResourceCounts(0, 0, 1, 2, 9, 64, List.of());
        scene.judge.checkResources(
                Scene.SIDE, new ResourceCounts(0, 0, 1, 2, 9, 64, List.of()), baseline);
        scene.judge.checkResources(
                "side-1", new ResourceCounts(0, 0, 1, 2, 0, 0, List.of()), baseline);
        assertBroken();
    }

    @Test
    void connectionsThatAreNotCountedAreTold() {
        ResourceCounts baseline = new ResourceCounts(0, 0, 1, 2, 9, 64, List.of());
        scene.judge.checkResources(
                Scene.SIDE, new ResourceCounts(0, 0, 0, 2, 9, 64, List.of()), baseline);
        scene.judge.checkResources(
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
            scene.judge.checkResources("side-" + i, leaks.get(i), ResourceCounts.empty());
            assertEquals(i + 1, scene.rules().size());
            assertEquals(Rule.LEAK, scene.rules().get(i));
        }
    }

    @Test
    void anExceptionThatEscapesIsACrash() {
        ResourceCounts now = new ResourceCounts(0, 0, 0, 0, 0, 0, List.of("NullPointerException"));
        scene.judge.checkResources(Scene.SIDE, now, ResourceCounts.empty());
        assertBroken(Rule.CRASH);
        assertTrue(scene.judge.violations().get(0).what().contains("NullPointerException"));
    }

    // ---- recovery

    private void asksAndIsServed(int from, int count, int unserved) {
        for (int i = from; i < from + count; i++) {
            scene.taken("r" + i, Scene.STOCK_CHECK, 400 * MS).after(MS);
            if (i - from < unserved) {
                scene.answered("r" + i, 503, "");
            } else {
                scene.served("a-1", "r" + i);
            }
        }
    }

    private void recoveredBy(long after, int unserved) {
        scene.at(S);
        scene.judge.lastFaultEnded();
        scene.at(S + after);
        asksAndIsServed(0, 300, unserved);
        scene.after(S);
        scene.judge.dayEnded();
    }

    @Test
    void tenSecondsAfterTheLastFaultAllIsServed() {
        recoveredBy(10 * S, 3);
        assertBroken();
        assertEquals(300, scene.judge.judgedForRecovery());
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
        scene.at(20 * S);
        asksAndIsServed(0, 300, 300);
        scene.after(S);
        scene.judge.dayEnded();
        assertBroken();
    }

    @Test
    void oneThatGetsNoAnswerOrNoConnectionCounts() {
        scene.at(S);
        scene.judge.lastFaultEnded();
        scene.at(12 * S);
        for (int i = 0; i < 2; i++) {
            scene.judge.requestStarted(
                    new ClientAttempt(
                            "r" + i,
                            "r" + i,
                            0,
                            Scene.SIDE,
                            0,
                            0,
                            null,
                            i,
                            scene.now,
                            400 * MS,
                            500 * MS));
        }
        scene.at(13 * S);
        scene.judge.dayEnded();
        assertBroken(Rule.NOT_RECOVERED);
    }

    @Test
    void whoseConnectionAnotherClosesDoesNotButWhoLeavesUnansweredDoes() {
        scene.at(S);
        scene.judge.lastFaultEnded();
        scene.at(12 * S);
        for (int i = 0; i < 4; i++) {
            scene.taken("r" + i, Scene.STOCK_CHECK, 400 * MS);
        }
        scene.after(399 * MS);
        scene.judge.clientGaveUp("r0");
        scene.judge.clientGaveUp("r1");
        scene.after(MS);
        scene.judge.clientGaveUp("r2");
        scene.judge.clientGaveUp("r3");
        scene.after(S);
        scene.judge.dayEnded();
        assertBroken(Rule.NOT_RECOVERED);
        assertEquals(2, scene.judge.judgedForRecovery());
    }

    @Test
    void theImpatientAndThoseStillWaitingDoNot() {
        scene.at(S);
        scene.judge.lastFaultEnded();
        scene.at(12 * S);
        for (int i = 0; i < 9; i++) {
            scene.taken("i" + i, Scene.STOCK_CHECK, 400 * MS, 399 * MS);
            scene.judge.clientGaveUp("i" + i);
        }
        for (int i = 0; i < 9; i++) {
            scene.taken("w" + i, Scene.STOCK_CHECK, 400 * MS);
        }
        scene.after(419 * MS);
        scene.judge.dayEnded();
        assertBroken();
        assertEquals(0, scene.judge.judgedForRecovery());
    }

    @Test
    void sidecarThatNeverBecomesReadyHasNotRecovered() {
        scene.at(S);
        scene.judge.lastFaultEnded();
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.judge.sidecarStarted("side-1", 1);
        scene.judge.sidecarReady("side-1", 1);
        scene.at(11 * S);
        scene.judge.dayEnded();
        assertBroken(Rule.NOT_RECOVERED);
    }

    @Test
    void oneThatHasJustBegunNeedNotBeReady() {
        scene.at(S);
        scene.judge.lastFaultEnded();
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.at(11 * S - 1);
        scene.judge.dayEnded();
        assertBroken();
    }
}
