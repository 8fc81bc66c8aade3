package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class EffectRuleTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;
    private final Scene scene = new Scene();

    private Scene taken(int requestClass) {
        return scene.at(S).taken("r", requestClass, 60 * S).after(10 * MS);
    }

    private void assertDuplicate(String end) {
        assertEquals(List.of(Rule.DUPLICATE), scene.rules());
        assertEquals(end, scene.judge.violations().get(0).what().substring(0, end.length()));
    }

    private void assertFine() {
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whatMayBeDoneOnceIsSentOnce() {
        taken(Scene.RAISE_INVOICE).arrived("a-1", "r").arrived("a-2", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void evenToTheSameServer() {
        taken(Scene.RAISE_INVOICE).arrived("a-1", "r").after(MS).arrived("a-1", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void aServerThatSaysItNeverRanDoesNotCount() {
        taken(Scene.RAISE_INVOICE).arrived("a-1", "r");
        scene.judge.serverDidNotRun("a-1", 1, "r");
        scene.after(MS).arrived("a-2", "r");
        assertFine();
        scene.judge.serverDidNotRun("a-2", 1, "r");
        scene.after(MS).arrived("a-1", "r");
        assertFine();
    }

    @Test
    void oneThatSaysSoTooLateDoes() {
        taken(Scene.RAISE_INVOICE).arrived("a-1", "r").arrived("a-2", "r");
        scene.judge.serverDidNotRun("a-1", 1, "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void oneThatSaysSoBeforeItHasReadAllDoesNot() {
        taken(Scene.RAISE_INVOICE).begun("a-1", "r", scene.now);
        scene.judge.serverDidNotRun("a-1", 1, "r");
        scene.after(MS).arrived("a-2", "r");
        scene.judge.serverReceived("a-1", 1, Scene.SIDE, "r", scene.now - MS, scene.now, MS);
        assertFine();
    }

    @Test
    void anothersWordOrThatOfAnEarlierLifeIsNotItsOwn() {
        taken(Scene.RAISE_INVOICE).arrived("a-1", "r");
        scene.judge.serverDidNotRun("a-2", 1, "r");
        scene.judge.serverDidNotRun("a-1", 2, "r");
        scene.after(MS).arrived("a-2", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void ofCopiesThatAreStillComingTheRightOneArrives() {
        taken(Scene.RAISE_INVOICE).begun("a-2", "r", scene.now).begun("a-1", "r", scene.now);
        scene.judge.serverReadId("a-1", 2, Scene.SIDE, "r", scene.now);
        scene.judge.serverDidNotRun("a-1", 2, "r");
        scene.judge.serverDidNotRun("a-2", 1, "r");
        scene.judge.serverReceived("a-1", 1, Scene.SIDE, "r", scene.now, scene.now, MS);
        scene.judge.serverReceived("a-2", 1, Scene.SIDE, "r", scene.now, scene.now, MS);
        scene.judge.serverReceived("a-1", 2, Scene.SIDE, "r", scene.now, scene.now, MS);
        assertFine();
        scene.arrived("a-3", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void whatNeverCameWholeDoesNotCount() {
        taken(Scene.RAISE_INVOICE).begun("a-1", "r").after(MS).arrived("a-2", "r");
        assertFine();
    }

    @Test
    void whatIsFreeToRepeatMayBeRepeated() {
        taken(Scene.STOCK_CHECK).arrived("a-1", "r").after(9 * S).arrived("b-1", "r");
        assertFine();
    }

    @Test
    void aKeyOfAZoneStaysThere() {
        taken(Scene.STOCK_HOLD).arrived("a-1", "r").after(MS).arrived("a-2", "r");
        assertFine();
        scene.after(MS).arrived("b-1", "r");
        assertDuplicate("repeated in another zone");
    }

    @Test
    void itsZoneIsThatOfTheFirstThatMayHaveRun() {
        taken(Scene.STOCK_HOLD).arrived("b-1", "r");
        scene.judge.serverDidNotRun("b-1", 1, "r");
        scene.after(MS).arrived("a-1", "r").after(MS).arrived("a-2", "r");
        assertFine();
    }

    @Test
    void aWindowClosesAndASlackBehindIt() {
        taken(Scene.STOCK_HOLD)
                .arrived("a-1", "r", 2 * S)
                .at(4 * S)
                .arrived("a-2", "r", 3 * S + 50 * MS);
        assertFine();
        scene.arrived("a-2", "r", 3 * S + 50 * MS + 1);
        assertDuplicate("repeated when its window had passed");
    }

    @Test
    void aKeyOfAllMayGoAnywhereWithinItsWindow() {
        taken(Scene.ORDER_CONFIRM)
                .arrived("a-1", "r", 2 * S)
                .at(10 * S)
                .arrived("b-1", "r", 9550 * MS);
        assertFine();
        scene.arrived("a-2", "r", 9550 * MS + 1);
        assertDuplicate("repeated when its window had passed");
    }

    @Test
    void theFirstIsTheOneThatWasSentFirstAlsoIfItArrivesLast() {
        taken(Scene.STOCK_HOLD).at(5 * S).arrived("a-2", "r", 3 * S + 51 * MS);
        assertFine();
        scene.arrived("a-1", "r", 2 * S);
        assertDuplicate("repeated when its window had passed, at a-1 and, sent 1.051");
    }

    @Test
    void aRefusalIsHarmlessOnlyIfItNeverRan() {
        taken(Scene.RAISE_INVOICE).arrived("a-1", "r").after(MS).answered("r", 503, "");
        assertDuplicate("refused with 503, and it may have run");
    }

    @Test
    void alsoForAKeyOfAZone() {
        taken(Scene.STOCK_HOLD).arrived("a-1", "r").after(MS).answered("r", 429, "");
        assertDuplicate("refused with 429, and it may have run");
    }

    @Test
    void notForAKeyOfAllNorWhereItDidNotRun() {
        taken(Scene.ORDER_CONFIRM).arrived("a-1", "r").after(MS).answered("r", 503, "");
        scene.taken("s", Scene.RAISE_INVOICE, S).arrived("a-1", "s");
        scene.judge.serverDidNotRun("a-1", 1, "s");
        scene.after(MS).answered("s", 503, "");
        scene.taken("t", Scene.RAISE_INVOICE, S).begun("a-1", "t").after(MS).answered("t", 503, "");
        scene.taken("u", Scene.RAISE_INVOICE, S)
                .arrived("a-1", "u")
                .after(MS)
                .answered("u", 502, "");
        assertFine();
    }

    @Test
    void whatArrivesAfterARefusalBreaksIt() {
        taken(Scene.RAISE_INVOICE).answered("r", 503, "").arrived("a-1", "r", scene.now - MS);
        assertDuplicate("refused with 503, and then it reached a-1");
    }

    @Test
    void afterAFailureItDoesNot() {
        taken(Scene.RAISE_INVOICE).answered("r", 504, "").arrived("a-1", "r", scene.now - MS);
        assertFine();
    }

    @Test
    void whatABadClientHidesIsNotPassedOn() {
        scene.judge.badClientHidRequest("bad-1", "hidden");
        scene.begun("a-1", "bad-7");
        assertFine();
        scene.begun("a-1", "hidden");
        assertDuplicate("hidden by a bad client");
    }
}
