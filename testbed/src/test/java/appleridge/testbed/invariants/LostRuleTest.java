package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LostRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void taken() {
        fixture.at(S)
                .taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS)
                .after(5 * MS)
                .received("a-1", "r")
                .after(50 * MS);
    }

    private void broken(boolean readId) {
        fixture.checker.answerBroken("r", "reset", readId);
    }

    private void assertLost() {
        assertEquals(List.of(Rule.LOST), found());
    }

    private void assertKept() {
        assertEquals(List.of(), found());
    }

    /** Whether a process has ended in time is another rule's. */
    private List<Rule> found() {
        return fixture.rules().stream().filter(each -> each != Rule.ENDING).toList();
    }

    @Test
    void anEndWithNoAnswerLosesIt() {
        taken();
        broken(false);
        assertLost();
    }

    @Test
    void whatWasNotTakenIsNotLost() {
        fixture.checker.requestStarted(
                new ClientAttempt(
                        "r", "r", 0, CheckerFixture.SIDE, 2, 0, "k", 1, 0, 1500 * MS, 2 * S));
        broken(false);
        assertKept();
    }

    @Test
    void whoLeavesLosesNothing() {
        taken();
        fixture.checker.clientGaveUp("r");
        broken(false);
        assertKept();
    }

    @Test
    void aKilledSidecarLosesNothing() {
        taken();
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.after(MS);
        broken(false);
        assertKept();
    }

    @Test
    void oneThatEndsByItselfDoes() {
        taken();
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDE, 1, 0);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.after(MS);
        broken(false);
        assertLost();
    }

    @Test
    void aBrokenLinkExcusesIt() {
        taken();
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDE, "r", fixture.now, Long.MAX_VALUE);
        fixture.after(MS);
        broken(false);
        assertKept();
    }

    @Test
    void aLinkBrokenEarlierOrForAnotherDoesNot() {
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDE, null, 0, 500 * MS);
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDE, "s", 0, Long.MAX_VALUE);
        fixture.checker.clientLinkTroubled("side-1", null, 0, Long.MAX_VALUE);
        taken();
        broken(false);
        assertLost();
    }

    @Test
    void whenItsTimeIsUpItHasFailedButIsLate() {
        taken();
        fixture.at(S + 1500 * MS);
        broken(false);
        assertLost();
        CheckerFixture other = new CheckerFixture();
        other.at(S)
                .taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS)
                .received("a-1", "r")
                .at(S + 1501 * MS);
        other.checker.answerBroken("r", "closed", false);
        assertEquals(List.of(Rule.LATE), other.rules());
    }

    @Test
    void theFirstOnAConnectionMayCrossItsEnd() {
        fixture.at(S).taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.places.put("r", 1);
        broken(false);
        assertKept();
    }

    @Test
    void unlessItWasSentOn() {
        fixture.at(S).taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.places.put("r", 1);
        broken(false);
        fixture.after(40 * MS).readId("a-1", "r", S + 20 * MS);
        assertLost();
    }

    @Test
    void aLaterOneOnlyIfItWasNotRead() {
        fixture.at(S).taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.unread.add("r");
        broken(false);
        assertKept();
    }

    @Test
    void aLaterOneThatWasReadIsLost() {
        fixture.at(S).taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        broken(false);
        assertLost();
    }

    @Test
    void aClientMaySendOnceMoreWhatHasCrossed() {
        fixture.at(S).taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.unread.add("r");
        broken(false);
        fixture.unread.clear();
        fixture.after(MS)
                .taken("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS)
                .after(5 * MS)
                .received("a-1", "r");
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
        fixture.checker.serverAnswered("a-1", 1, "r", "whole");
        broken(true);
        assertLost();
    }

    @Test
    void unlessAFaultStruckIt() {
        taken();
        fixture.checker.serverAnswered("a-1", 1, "r", "whole");
        fixture.checker.faultStruck("up-reset", "a-1", "r");
        broken(true);
        assertKept();
    }

    private void killedAfterTerm(long untilKill, long takenBefore) {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 1);
        fixture.at(S + untilKill - takenBefore)
                .taken("r", CheckerFixture.STOCK_CHECK, 400 * MS)
                .at(S + untilKill);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        fixture.after(MS);
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
        fixture.checker.sidecarStarted("side-1", 1);
        fixture.at(S)
                .taken("open", CheckerFixture.STOCK_CHECK, 400 * MS)
                .taken("answered", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.after(MS).answered("answered", 504, "");
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDE, 2);
        fixture.checker.requestStarted(
                new ClientAttempt(
                        "other", "other", 0, "side-1", 0, 0, null, 99, fixture.now, 9 * S, 9 * S));
        fixture.checker.requestSent("other");
        fixture.checker.sidecarSigterm(CheckerFixture.SIDE, 2);
        fixture.after(9 * S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 2);
        assertKept();
    }

    @Test
    void aPauseBeforeSigkillExcusesWhatIsLeft() {
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, 2 * S, 3 * S);
        killedAfterTerm(2200 * MS, 100 * MS);
        assertKept();
    }
}
