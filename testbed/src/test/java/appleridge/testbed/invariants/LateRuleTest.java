package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LateRuleTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;

    /**
     * Taken at one second: deadline, the rules' slack, the sockets', one way and the loop's work.
     */
    private static final long DUE = S + (400 + 20 + 50 + 5 + 5) * MS;

    private final Scene scene = new Scene();

    private Scene taken() {
        return scene.at(S).taken("r", Scene.STOCK_CHECK, 400 * MS);
    }

    private void answeredAt(long written) {
        scene.at(written + MS);
        scene.judge.answered("r", 504, "", -1, written);
    }

    @Test
    void anAnswerAtTheLastMomentIsInTime() {
        taken();
        answeredAt(DUE);
        scene.after(S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void oneBehindItIsLate() {
        taken();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void noneIsLateWhenItCouldHaveArrived() {
        taken().at(DUE + 5 * MS);
        assertEquals(List.of(), scene.rules());
        scene.after(1);
        assertEquals(List.of(Rule.LATE), scene.rules());
        assertEquals(DUE + 5 * MS, scene.judge.violations().get(0).at());
        answeredAt(DUE + 9 * MS);
        assertEquals(1, scene.rules().size());
    }

    @Test
    void whoLeavesIsNotOwedOne() {
        taken().at(DUE - 1);
        scene.judge.clientGaveUp("r");
        scene.after(S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void aPausePutsItOffByAsMuch() {
        scene.judge.sidecarPaused(Scene.SIDE, S / 2, S + 100 * MS);
        taken();
        answeredAt(DUE + 100 * MS);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void andNoMore() {
        scene.judge.sidecarPaused(Scene.SIDE, S / 2, S + 100 * MS);
        taken();
        answeredAt(DUE + 100 * MS + 1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void aPauseToldWhenItIsOpenPutsTheLookOff() {
        taken().at(DUE - MS);
        scene.judge.sidecarPaused(Scene.SIDE, scene.now, scene.now + 200 * MS);
        scene.at(DUE + 205 * MS);
        assertEquals(List.of(), scene.rules());
        scene.after(1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void anothersPauseOrLinkIsNoExcuse() {
        scene.judge.sidecarPaused("side-1", S, 2 * S);
        scene.judge.clientLinkTroubled("side-1", null, S, 2 * S);
        scene.judge.clientLinkTroubled(Scene.SIDE, "s", S, 2 * S);
        taken();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void aLinkInTroublePutsItOff() {
        scene.judge.clientLinkTroubled(Scene.SIDE, null, S, S + 100 * MS);
        taken();
        answeredAt(DUE + 100 * MS);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void aConnectionThatFellSilentIsOwedNothing() {
        taken().after(MS);
        scene.judge.clientLinkTroubled(Scene.SIDE, "r", scene.now, Long.MAX_VALUE);
        scene.after(60 * S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void aKilledSidecarOwesNothing() {
        taken().after(MS);
        scene.judge.sidecarKilled(Scene.SIDE, 1);
        scene.after(60 * S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void behindAnOpenOneItMayTakeAsLong() {
        scene.at(S).taken("first", Scene.ORDER_CONFIRM, 1500 * MS);
        scene.ahead.put("r", "first");
        taken().at(DUE + 500 * MS);
        assertEquals(List.of(), scene.rules());
        scene.after(S);
        assertEquals(List.of(Rule.LATE, Rule.LATE), scene.rules());
    }

    @Test
    void whatWaitedToBeAcceptedMayTakeAsMuchLonger() {
        taken();
        scene.accepted.put("r", S + 300 * MS);
        answeredAt(DUE + 300 * MS);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void andNoMoreThanThat() {
        taken();
        scene.accepted.put("r", S + 300 * MS);
        answeredAt(DUE + 300 * MS + 1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void aSecondAtMost() {
        taken();
        scene.accepted.put("r", 3 * S);
        answeredAt(DUE + S + 1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void aLoopThatHasTooMuchToDoPutsItOffByAsLong() {
        scene.busy.add(new Span(S + 100 * MS, S + 106 * MS));
        taken();
        answeredAt(DUE + 6 * MS);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void asLongAsItsUsualWorkIsNoExcuse() {
        scene.busy.add(new Span(S + 100 * MS, S + 105 * MS));
        taken();
        answeredAt(DUE + 1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void aLoopThatSpinsForEverIsExcusedForASecond() {
        scene.busy.add(new Span(0, 60 * S));
        taken().at(DUE + S + 5 * MS);
        assertEquals(List.of(), scene.rules());
        scene.after(1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void closedWhenItsTimeIsUpItIsLateUnlessItCrossed() {
        taken().at(S + 401 * MS);
        scene.unread.add("r");
        scene.judge.answerBroken("r", "closed", false);
        assertEquals(List.of(), scene.rules());
        scene.taken("s", Scene.STOCK_CHECK, 400 * MS).after(401 * MS);
        scene.judge.answerBroken("s", "closed", false);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    /** Its client may leave before the time that is given to what was never read. */
    @Test
    void whatIsReadSoonAfterItWasAskedHasNoMoreTime() {
        scene.unread.add("r");
        taken().after(MS);
        scene.unread.remove("r");
        scene.at(DUE + 5 * MS);
        assertEquals(List.of(), scene.rules());
        scene.after(1);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }
}
