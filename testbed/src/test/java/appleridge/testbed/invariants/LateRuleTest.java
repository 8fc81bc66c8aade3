package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LateRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;

    /**
     * Limit of a request accepted at one second: its deadline, the answer slack, the socket slack,
     * the link delay and the loop delay.
     */
    private static final long DUE = S + (400 + 20 + 50 + 5 + 5) * MS;

    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture accepted() {
        return fixture.at(S).accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS);
    }

    private void answeredAt(long written) {
        fixture.at(written + MS);
        fixture.checker.answered("r", 504, "", -1, written);
    }

    @Test
    void answerAtTheLimitIsInTime() {
        accepted();
        answeredAt(DUE);
        fixture.after(S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void answerAfterTheLimitIsLate() {
        accepted();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void missingAnswerIsLateOnceItCouldHaveArrived() {
        accepted().at(DUE + 5 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
        assertEquals(DUE + 5 * MS, fixture.checker.violations().get(0).at());
        answeredAt(DUE + 9 * MS);
        assertEquals(1, fixture.rules().size());
    }

    @Test
    void clientThatGaveUpIsOwedNoAnswer() {
        accepted().at(DUE - 1);
        fixture.checker.clientGaveUp("r");
        fixture.after(S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void pauseExtendsTheLimitByItsLength() {
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, S / 2, S + 100 * MS);
        accepted();
        answeredAt(DUE + 100 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void pauseExtendsTheLimitByNoMoreThanItsLength() {
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, S / 2, S + 100 * MS);
        accepted();
        answeredAt(DUE + 100 * MS + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void pauseOfAnOpenRequestPostponesTheCheck() {
        accepted().at(DUE - MS);
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, fixture.now, fixture.now + 200 * MS);
        fixture.at(DUE + 205 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void pauseOrLinkTroubleOfOthersIsNoExcuse() {
        fixture.checker.sidecarPaused("side-1", S, 2 * S);
        fixture.checker.clientLinkTroubled("side-1", null, S, 2 * S);
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDECAR, "s", S, 2 * S);
        accepted();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void linkTroubleExtendsTheLimit() {
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDECAR, null, S, S + 100 * MS);
        accepted();
        answeredAt(DUE + 100 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void brokenConnectionIsOwedNoAnswer() {
        accepted().after(MS);
        fixture.checker.clientLinkTroubled(
                CheckerFixture.SIDECAR, "r", fixture.now, Long.MAX_VALUE);
        fixture.after(60 * S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void killedSidecarOwesNoAnswer() {
        accepted().after(MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDECAR, 1);
        fixture.after(60 * S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void pipelinedRequestMayTakeAsLongAsTheOneAhead() {
        fixture.at(S).accepted("first", CheckerFixture.ORDER_CONFIRM, 1500 * MS);
        fixture.idsAhead.put("r", "first");
        accepted().at(DUE + 500 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(S);
        assertEquals(List.of(Rule.LATE, Rule.LATE), fixture.rules());
    }

    @Test
    void acceptDelayExtendsTheLimit() {
        accepted();
        fixture.acceptTimes.put("r", S + 300 * MS);
        answeredAt(DUE + 300 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void acceptDelayExtendsTheLimitByNoMoreThanItsLength() {
        accepted();
        fixture.acceptTimes.put("r", S + 300 * MS);
        answeredAt(DUE + 300 * MS + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void acceptDelayExtendsTheLimitByASecondAtMost() {
        accepted();
        fixture.acceptTimes.put("r", 3 * S);
        answeredAt(DUE + S + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void overloadedLoopExtendsTheLimit() {
        fixture.busy.add(new Span(S + 100 * MS, S + 106 * MS));
        accepted();
        answeredAt(DUE + 6 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void normalBusyTimeIsNoExcuse() {
        fixture.busy.add(new Span(S + 100 * MS, S + 105 * MS));
        accepted();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void endlesslyBusyLoopIsExcusedForASecond() {
        fixture.busy.add(new Span(0, 60 * S));
        accepted().at(DUE + S + 5 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void closeAfterTheDeadlineIsLateUnlessItCrossedTheRequest() {
        accepted().at(S + 401 * MS);
        fixture.unreadIds.add("r");
        fixture.checker.answerBroken("r", "closed", false);
        assertEquals(List.of(), fixture.rules());
        fixture.accepted("s", CheckerFixture.STOCK_CHECK, 400 * MS).after(401 * MS);
        fixture.checker.answerBroken("s", "closed", false);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    /**
     * Guards against a check at the longer limit for unread requests only: a request is read soon
     * after it was sent, and its client may leave before that limit, so its late answer would go
     * unnoticed.
     */
    @Test
    void requestReadSoonAfterSendingGetsNoExtraTime() {
        fixture.unreadIds.add("r");
        accepted().after(MS);
        fixture.unreadIds.remove("r");
        fixture.at(DUE + 5 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    /** The rest of an answer that began in time comes as late as its server writes it. */
    @Test
    void restOfAnAnswerThatBeganInTimeFollowsItsServer() {
        fixture.answerBegunAt = DUE;
        fixture.lastAnswerReadAt = DUE + S;
        accepted();
        answeredAt(DUE + S + 80 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    /** An answer that began in time is not held back once its server has written it. */
    @Test
    void restOfAnAnswerThatIsHeldBackIsLate() {
        fixture.answerBegunAt = DUE;
        fixture.lastAnswerReadAt = DUE + S;
        accepted();
        answeredAt(DUE + S + 80 * MS + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    /** A server that stops in the middle of an answer frees the sidecar for a while only. */
    @Test
    void answerThatItsServerNeverEndsIsLateAfterThePauseThatIsAllowed() {
        fixture.answerBegunAt = DUE;
        fixture.lastAnswerReadAt = S + 100 * MS;
        accepted();
        long limit = S + (100 + 1300 + 80 + 5) * MS;
        fixture.at(limit);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    /**
     * Guards against a finding for an answer that began in time and whose server stopped long
     * before the deadline: its end may come as long as the request is not lost.
     */
    @Test
    void answerThatItsServerNeverEndsMayEndHalfASecondAfterTheDeadline() {
        fixture.answerBegunAt = S + 10 * MS;
        fixture.lastAnswerReadAt = S + 10 * MS;
        fixture.at(S).accepted("r", CheckerFixture.STOCK_CHECK, 2500 * MS);
        long limit = S + (2500 + 500 + 5 + 5 + 5) * MS;
        fixture.at(limit);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    /** Nothing extends the limit of an answer that began too late. */
    @Test
    void answerThatBeganTooLateIsLate() {
        fixture.answerBegunAt = DUE + 1;
        fixture.lastAnswerReadAt = DUE;
        accepted();
        answeredAt(DUE + 2);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    /** An answer that began in time may break off when its server has stopped for long enough. */
    @Test
    void answerThatBreaksOffBecauseItsServerStoppedIsNotLate() {
        long limit = S + (100 + 1300 + 80 + 5) * MS;
        assertEquals(List.of(), brokenOffAt(limit).rules());
    }

    /** It may not break off later. */
    @Test
    void answerThatBreaksOffLongAfterItsServerStoppedIsLate() {
        long limit = S + (100 + 1300 + 80 + 5) * MS;
        assertEquals(List.of(Rule.LATE), brokenOffAt(limit + 1).rules());
    }

    private CheckerFixture brokenOffAt(long moment) {
        fixture.answerBegunAt = DUE;
        fixture.lastAnswerReadAt = S + 100 * MS;
        accepted();
        fixture.checker.serverAnswered("s0", 0, "r", "body");
        fixture.at(moment);
        fixture.checker.answerBroken("r", "cut", true);
        return fixture;
    }
}
