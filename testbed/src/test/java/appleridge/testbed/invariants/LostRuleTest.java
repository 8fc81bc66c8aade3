package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LostRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private void accepted() {
        fixture.at(S)
                .accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS)
                .after(5 * MS)
                .received("a-1", "r")
                .after(50 * MS);
    }

    private void breakConnection(boolean answerBegun) {
        fixture.checker.answerBroken("r", "reset", answerBegun);
    }

    private void assertLost() {
        assertEquals(List.of(Rule.LOST), violationsExceptEnding());
    }

    private void assertNotLost() {
        assertEquals(List.of(), violationsExceptEnding());
    }

    /** Leaves out ENDING: another rule checks whether a process exits in time. */
    private List<Rule> violationsExceptEnding() {
        return fixture.rules().stream().filter(each -> each != Rule.ENDING).toList();
    }

    @Test
    void closeWithoutAnAnswerIsReported() {
        accepted();
        breakConnection(false);
        assertLost();
    }

    @Test
    void requestThatWasNotAcceptedIsNotLost() {
        fixture.checker.requestStarted(
                new ClientAttempt(
                        "r", "r", 0, CheckerFixture.SIDECAR, 2, 0, "k", 1, 0, 1500 * MS, 2 * S));
        breakConnection(false);
        assertNotLost();
    }

    @Test
    void requestOfAClientThatGaveUpIsNotLost() {
        accepted();
        fixture.checker.clientGaveUp("r");
        breakConnection(false);
        assertNotLost();
    }

    @Test
    void killOfTheSidecarExcusesTheClose() {
        accepted();
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.after(MS);
        breakConnection(false);
        assertNotLost();
    }

    @Test
    void exitOfTheSidecarDoesNotExcuseTheClose() {
        accepted();
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarExited(CheckerFixture.SIDECAR, 1, 0);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.after(MS);
        breakConnection(false);
        assertLost();
    }

    @Test
    void linkTroubleExcusesTheClose() {
        accepted();
        fixture.checker.clientLinkTroubled(
                CheckerFixture.SIDECAR, "r", fixture.now, Long.MAX_VALUE);
        fixture.after(MS);
        breakConnection(false);
        assertNotLost();
    }

    @Test
    void earlierOrUnrelatedLinkTroubleIsNoExcuse() {
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDECAR, null, 0, 500 * MS);
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDECAR, "s", 0, Long.MAX_VALUE);
        fixture.checker.clientLinkTroubled("side-1", null, 0, Long.MAX_VALUE);
        accepted();
        breakConnection(false);
        assertLost();
    }

    @Test
    void closeAfterTheDeadlineIsLateInsteadOfLost() {
        accepted();
        fixture.at(S + 1500 * MS);
        breakConnection(false);
        assertLost();
        CheckerFixture other = new CheckerFixture();
        other.at(S)
                .accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS)
                .received("a-1", "r")
                .at(S + 1501 * MS);
        other.checker.answerBroken("r", "closed", false);
        assertEquals(List.of(Rule.LATE), other.rules());
    }

    @Test
    void firstRequestOnAConnectionMayCrossItsClose() {
        fixture.at(S).accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.positions.put("r", 1);
        breakConnection(false);
        assertNotLost();
    }

    @Test
    void forwardedRequestIsLostEvenIfFirstOnItsConnection() {
        fixture.at(S).accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.positions.put("r", 1);
        breakConnection(false);
        fixture.after(40 * MS).readId("a-1", "r", S + 20 * MS);
        assertLost();
    }

    @Test
    void laterUnreadRequestMayCrossTheClose() {
        fixture.at(S).accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.unreadIds.add("r");
        breakConnection(false);
        assertNotLost();
    }

    @Test
    void laterReadRequestIsLost() {
        fixture.at(S).accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        breakConnection(false);
        assertLost();
    }

    @Test
    void requestThatCrossedTheCloseMayBeSentAgain() {
        fixture.at(S).accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS).after(50 * MS);
        fixture.unreadIds.add("r");
        breakConnection(false);
        fixture.unreadIds.clear();
        fixture.after(MS)
                .accepted("r", CheckerFixture.ORDER_CONFIRM, 1500 * MS)
                .after(5 * MS)
                .received("a-1", "r");
        assertNotLost();
        breakConnection(false);
        assertLost();
    }

    @Test
    void answerBrokenOffByTheServerIsExcused() {
        accepted();
        breakConnection(true);
        assertNotLost();
    }

    @Test
    void brokenOffAnswerThatAServerCompletedIsLost() {
        accepted();
        fixture.checker.serverAnswered("a-1", 1, "r", "whole");
        breakConnection(true);
        assertLost();
    }

    @Test
    void faultAimedAtTheRequestExcusesABrokenOffAnswer() {
        accepted();
        fixture.checker.serverAnswered("a-1", 1, "r", "whole");
        fixture.checker.faultTriggered("up-reset", "a-1", "r");
        breakConnection(true);
        assertNotLost();
    }

    private void killAfterTerm(long untilKill, long acceptedBefore) {
        fixture.at(S);
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 1);
        fixture.at(S + untilKill - acceptedBefore)
                .accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS)
                .at(S + untilKill);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        fixture.after(MS);
        breakConnection(false);
    }

    @Test
    void requestUnansweredAtPromisedSigkillTimeIsLost() {
        killAfterTerm(2200 * MS, 100 * MS);
        assertLost();
    }

    @Test
    void requestAcceptedJustBeforeSigkillIsExcused() {
        killAfterTerm(2200 * MS, 50 * MS);
        assertNotLost();
    }

    @Test
    void requestUnansweredAtEarlySigkillIsExcused() {
        killAfterTerm(2199 * MS, 100 * MS);
        assertNotLost();
    }

    @Test
    void sigkillChecksOnlyOpenRequestsOfItsProcess() {
        fixture.checker.sidecarStarted("side-1", 1);
        fixture.at(S)
                .accepted("open", CheckerFixture.STOCK_CHECK, 400 * MS)
                .accepted("answered", CheckerFixture.STOCK_CHECK, 400 * MS);
        fixture.after(MS).answered("answered", 504, "");
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        fixture.checker.sidecarStarted(CheckerFixture.SIDECAR, 2);
        fixture.checker.requestStarted(
                new ClientAttempt(
                        "other", "other", 0, "side-1", 0, 0, null, 99, fixture.now, 9 * S, 9 * S));
        fixture.checker.requestSent("other");
        fixture.checker.sidecarSigterm(CheckerFixture.SIDECAR, 2);
        fixture.after(9 * S);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 2);
        assertNotLost();
    }

    @Test
    void pauseBeforeSigkillExcusesUnansweredRequests() {
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, 2 * S, 3 * S);
        killAfterTerm(2200 * MS, 100 * MS);
        assertNotLost();
    }
}
