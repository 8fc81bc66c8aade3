package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LostRuleTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;
    private final Scene scene = new Scene();

    private void taken() {
        scene.at(S)
                .taken("r", Scene.ORDER_CONFIRM, 1500 * MS)
                .after(5 * MS)
                .arrived("a-1", "r")
                .after(50 * MS);
    }

    private void broken(boolean begun) {
        scene.judge.answerBroken("r", "reset", begun);
    }

    private void assertLost() {
        assertEquals(List.of(Rule.LOST), found());
    }

    private void assertKept() {
        assertEquals(List.of(), found());
    }

    /** Whether a process has ended in time is another rule's. */
    private List<Rule> found() {
        return scene.rules().stream().filter(each -> each != Rule.ENDING).toList();
    }

    @Test
    void anEndWithNoAnswerLosesIt() {
        taken();
        broken(false);
        assertLost();
    }

    @Test
    void whatWasNotTakenIsNotLost() {
        scene.judge.requestStarted(
                new ClientAttempt("r", "r", 0, Scene.SIDE, 2, 0, "k", 1, 0, 1500 * MS, 2 * S));
        broken(false);
        assertKept();
    }

    @Test
    void whoLeavesLosesNothing() {
        taken();
        scene.judge.clientGaveUp("r");
        broken(false);
        assertKept();
    }

    @Test
    void aKilledSidecarLosesNothing() {
        taken();
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.after(MS);
        broken(false);
        assertKept();
    }

    @Test
    void oneThatEndsByItselfDoes() {
        taken();
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.judge.sidecarExited(Scene.SIDE, 1, 0);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.after(MS);
        broken(false);
        assertLost();
    }

    @Test
    void aBrokenLinkExcusesIt() {
        taken();
        scene.judge.clientLinkTroubled(Scene.SIDE, "r", scene.now, Long.MAX_VALUE);
        scene.after(MS);
        broken(false);
        assertKept();
    }

    @Test
    void aLinkBrokenEarlierOrForAnotherDoesNot() {
        scene.judge.clientLinkTroubled(Scene.SIDE, null, 0, 500 * MS);
        scene.judge.clientLinkTroubled(Scene.SIDE, "s", 0, Long.MAX_VALUE);
        scene.judge.clientLinkTroubled("side-1", null, 0, Long.MAX_VALUE);
        taken();
        broken(false);
        assertLost();
    }

    @Test
    void whenItsTimeIsUpItHasFailedButIsLate() {
        taken();
        scene.at(S + 1500 * MS);
        broken(false);
        assertLost();
        Scene other = new Scene();
        other.at(S)
                .taken("r", Scene.ORDER_CONFIRM, 1500 * MS)
                .arrived("a-1", "r")
                .at(S + 1501 * MS);
        other.judge.answerBroken("r", "closed", false);
        assertEquals(List.of(Rule.LATE), other.rules());
    }

    @Test
    void theFirstOnAConnectionMayCrossItsEnd() {
        scene.at(S).taken("r", Scene.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        scene.places.put("r", 1);
        broken(false);
        assertKept();
    }

    @Test
    void unlessItWasSentOn() {
        scene.at(S).taken("r", Scene.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        scene.places.put("r", 1);
        broken(false);
        scene.after(40 * MS).begun("a-1", "r", S + 20 * MS);
        assertLost();
    }

    @Test
    void aLaterOneOnlyIfItWasNotRead() {
        scene.at(S).taken("r", Scene.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        scene.unread.add("r");
        broken(false);
        assertKept();
    }

    @Test
    void aLaterOneThatWasReadIsLost() {
        scene.at(S).taken("r", Scene.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        broken(false);
        assertLost();
    }

    @Test
    void aClientMaySendOnceMoreWhatHasCrossed() {
        scene.at(S).taken("r", Scene.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        scene.unread.add("r");
        broken(false);
        scene.unread.clear();
        scene.after(MS)
                .taken("r", Scene.ORDER_CONFIRM, 1500 * MS)
                .after(5 * MS)
                .arrived("a-1", "r");
        assertKept();
        broken(false);
        assertLost();
    }

    @Test
    void anAnswerThatTheServerSpoiltMayBreakOff() {
        taken();
        broken(true);
        assertKept();
    }

    @Test
    void oneThatWasMadeWholeMayNot() {
        taken();
        scene.judge.serverAnswered("a-1", 1, "r", "whole");
        broken(true);
        assertLost();
    }

    @Test
    void unlessAFaultStruckIt() {
        taken();
        scene.judge.serverAnswered("a-1", 1, "r", "whole");
        scene.judge.faultStruck("up-reset", "a-1", "r");
        broken(true);
        assertKept();
    }

    private void killedAfterTerm(long untilKill, long takenBefore) {
        scene.at(S);
        scene.judge.sidecarSigterm(Scene.SIDE, 1);
        scene.at(S + untilKill - takenBefore)
                .taken("r", Scene.STOCK_CHECK, 400 * MS)
                .at(S + untilKill);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        scene.after(MS);
        broken(false);
    }

    @Test
    void sigkillInItsTimeFindsNothingUnanswered() {
        killedAfterTerm(2200 * MS, 100 * MS);
        assertLost();
    }

    @Test
    void butWhatCameInTheLastMoment() {
        killedAfterTerm(2200 * MS, 50 * MS);
        assertKept();
    }

    @Test
    void sigkillAheadOfItsTimeMayFindMore() {
        killedAfterTerm(2199 * MS, 100 * MS);
        assertKept();
    }

    @Test
    void sigkillConcernsItsOwnProcessAndWhatIsStillOpen() {
        scene.judge.sidecarStarted("side-1", 1);
        scene.at(S)
                .taken("open", Scene.STOCK_CHECK, 400 * MS)
                .taken("answered", Scene.STOCK_CHECK, 400 * MS);
        scene.after(MS).answered("answered", 504, "");
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        scene.judge.sidecarStarted(Scene.SIDE, 2);
        scene.judge.requestStarted(
                new ClientAttempt(
                        "other", "other", 0, "side-1", 0, 0, null, 99, scene.now, 9 * S, 9 * S));
        scene.judge.requestSent("other");
        scene.judge.sidecarSigterm(Scene.SIDE, 2);
        scene.after(9 * S);
        scene.judge.sidecarKilled(Scene.SIDE, 2);
        assertKept();
    }

    @Test
    void aPauseBeforeSigkillExcusesWhatIsLeft() {
        scene.judge.sidecarPaused(Scene.SIDE, 2 * S, 3 * S);
        killedAfterTerm(2200 * MS, 100 * MS);
        assertKept();
    }
}
