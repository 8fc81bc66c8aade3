package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LateRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;

    /**
     * Taken at one second: deadline, the rules' slack, the sockets', one way and the loop's work.
     */
    private static final long DUE = S + (400 + 20 + 50 + 5 + 5) * MS;

    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture taken() {
        return fixture.at(S).taken("r", CheckerFixture.STOCK_CHECK, 400 * MS);
    }

    private void answeredAt(long written) {
        fixture.at(written + MS);
        fixture.checker.answered("r", 504, "", -1, written);
    }

    @Test
    void anAnswerAtTheLastMomentIsInTime() {
        taken();
        answeredAt(DUE);
        fixture.after(S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void oneBehindItIsLate() {
        taken();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void noneIsLateWhenItCouldHaveArrived() {
        taken().at(DUE + 5 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
        assertEquals(DUE + 5 * MS, fixture.checker.violations().get(0).at());
        answeredAt(DUE + 9 * MS);
        assertEquals(1, fixture.rules().size());
    }

    @Test
    void whoLeavesIsNotOwedOne() {
        taken().at(DUE - 1);
        fixture.checker.clientGaveUp("r");
        fixture.after(S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void aPausePutsItOffByAsMuch() {
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, S / 2, S + 100 * MS);
        taken();
        answeredAt(DUE + 100 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void andNoMore() {
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, S / 2, S + 100 * MS);
        taken();
        answeredAt(DUE + 100 * MS + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void aPauseToldWhenItIsOpenPutsTheLookOff() {
        taken().at(DUE - MS);
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, fixture.now, fixture.now + 200 * MS);
        fixture.at(DUE + 205 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void anothersPauseOrLinkIsNoExcuse() {
        fixture.checker.sidecarPaused("side-1", S, 2 * S);
        fixture.checker.clientLinkTroubled("side-1", null, S, 2 * S);
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDE, "s", S, 2 * S);
        taken();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void aLinkInTroublePutsItOff() {
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDE, null, S, S + 100 * MS);
        taken();
        answeredAt(DUE + 100 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void aConnectionThatFellSilentIsOwedNothing() {
        taken().after(MS);
        fixture.checker.clientLinkTroubled(CheckerFixture.SIDE, "r", fixture.now, Long.MAX_VALUE);
        fixture.after(60 * S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void aKilledSidecarOwesNothing() {
        taken().after(MS);
        fixture.checker.sidecarKilled(CheckerFixture.SIDE, 1);
        fixture.after(60 * S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void behindAnOpenOneItMayTakeAsLong() {
        fixture.at(S).taken("first", CheckerFixture.ORDER_CONFIRM, 1500 * MS);
        fixture.ahead.put("r", "first");
        taken().at(DUE + 500 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(S);
        assertEquals(List.of(Rule.LATE, Rule.LATE), fixture.rules());
    }

    @Test
    void whatWaitedToBeAcceptedMayTakeAsMuchLonger() {
        taken();
        fixture.accepted.put("r", S + 300 * MS);
        answeredAt(DUE + 300 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void andNoMoreThanThat() {
        taken();
        fixture.accepted.put("r", S + 300 * MS);
        answeredAt(DUE + 300 * MS + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void aSecondAtMost() {
        taken();
        fixture.accepted.put("r", 3 * S);
        answeredAt(DUE + S + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void aLoopThatHasTooMuchToDoPutsItOffByAsLong() {
        fixture.busy.add(new Span(S + 100 * MS, S + 106 * MS));
        taken();
        answeredAt(DUE + 6 * MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void asLongAsItsUsualWorkIsNoExcuse() {
        fixture.busy.add(new Span(S + 100 * MS, S + 105 * MS));
        taken();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void aLoopThatSpinsForEverIsExcusedForASecond() {
        fixture.busy.add(new Span(0, 60 * S));
        taken().at(DUE + S + 5 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void closedWhenItsTimeIsUpItIsLateUnlessItCrossed() {
        taken().at(S + 401 * MS);
        fixture.unread.add("r");
        fixture.checker.answerBroken("r", "closed", false);
        assertEquals(List.of(), fixture.rules());
        fixture.taken("s", CheckerFixture.STOCK_CHECK, 400 * MS).after(401 * MS);
        fixture.checker.answerBroken("s", "closed", false);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    /** Its client may leave before the time that is given to what was never read. */
    @Test
    void whatIsReadSoonAfterItWasAskedHasNoMoreTime() {
        fixture.unread.add("r");
        taken().after(MS);
        fixture.unread.remove("r");
        fixture.at(DUE + 5 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.after(1);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }
}
