package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class DuplicateEffectRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture taken(int requestClass) {
        return fixture.at(S).taken("r", requestClass, 60 * S).after(10 * MS);
    }

    private void assertDuplicate(String end) {
        assertEquals(List.of(Rule.DUPLICATE), fixture.rules());
        assertEquals(end, fixture.checker.violations().get(0).what().substring(0, end.length()));
    }

    private void assertFine() {
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whatMayBeDoneOnceIsSentOnce() {
        taken(CheckerFixture.RAISE_INVOICE).received("a-1", "r").received("a-2", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void evenToTheSameServer() {
        taken(CheckerFixture.RAISE_INVOICE).received("a-1", "r").after(MS).received("a-1", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void aServerThatSaysItNeverRanDoesNotCount() {
        taken(CheckerFixture.RAISE_INVOICE).received("a-1", "r");
        fixture.checker.serverDidNotRun("a-1", 1, "r");
        fixture.after(MS).received("a-2", "r");
        assertFine();
        fixture.checker.serverDidNotRun("a-2", 1, "r");
        fixture.after(MS).received("a-1", "r");
        assertFine();
    }

    @Test
    void oneThatSaysSoTooLateDoes() {
        taken(CheckerFixture.RAISE_INVOICE).received("a-1", "r").received("a-2", "r");
        fixture.checker.serverDidNotRun("a-1", 1, "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void oneThatSaysSoBeforeItHasReadAllDoesNot() {
        taken(CheckerFixture.RAISE_INVOICE).readId("a-1", "r", fixture.now);
        fixture.checker.serverDidNotRun("a-1", 1, "r");
        fixture.after(MS).received("a-2", "r");
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDE, "r", fixture.now - MS, fixture.now, MS);
        assertFine();
    }

    @Test
    void anothersWordOrThatOfAnEarlierLifeIsNotItsOwn() {
        taken(CheckerFixture.RAISE_INVOICE).received("a-1", "r");
        fixture.checker.serverDidNotRun("a-2", 1, "r");
        fixture.checker.serverDidNotRun("a-1", 2, "r");
        fixture.after(MS).received("a-2", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void ofCopiesThatAreStillComingTheRightOneArrives() {
        taken(CheckerFixture.RAISE_INVOICE)
                .readId("a-2", "r", fixture.now)
                .readId("a-1", "r", fixture.now);
        fixture.checker.serverReadId("a-1", 2, CheckerFixture.SIDE, "r", fixture.now);
        fixture.checker.serverDidNotRun("a-1", 2, "r");
        fixture.checker.serverDidNotRun("a-2", 1, "r");
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDE, "r", fixture.now, fixture.now, MS);
        fixture.checker.serverReceived(
                "a-2", 1, CheckerFixture.SIDE, "r", fixture.now, fixture.now, MS);
        fixture.checker.serverReceived(
                "a-1", 2, CheckerFixture.SIDE, "r", fixture.now, fixture.now, MS);
        assertFine();
        fixture.received("a-3", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void whatNeverCameWholeDoesNotCount() {
        taken(CheckerFixture.RAISE_INVOICE).readId("a-1", "r").after(MS).received("a-2", "r");
        assertFine();
    }

    @Test
    void whatIsFreeToRepeatMayBeRepeated() {
        taken(CheckerFixture.STOCK_CHECK).received("a-1", "r").after(9 * S).received("b-1", "r");
        assertFine();
    }

    @Test
    void aKeyOfAZoneStaysThere() {
        taken(CheckerFixture.STOCK_HOLD).received("a-1", "r").after(MS).received("a-2", "r");
        assertFine();
        fixture.after(MS).received("b-1", "r");
        assertDuplicate("repeated in another zone");
    }

    @Test
    void itsZoneIsThatOfTheFirstThatMayHaveRun() {
        taken(CheckerFixture.STOCK_HOLD).received("b-1", "r");
        fixture.checker.serverDidNotRun("b-1", 1, "r");
        fixture.after(MS).received("a-1", "r").after(MS).received("a-2", "r");
        assertFine();
    }

    @Test
    void aWindowClosesAndASlackBehindIt() {
        taken(CheckerFixture.STOCK_HOLD)
                .received("a-1", "r", 2 * S)
                .at(4 * S)
                .received("a-2", "r", 3 * S + 50 * MS);
        assertFine();
        fixture.received("a-2", "r", 3 * S + 50 * MS + 1);
        assertDuplicate("repeated after its window had passed");
    }

    @Test
    void aKeyOfAllMayGoAnywhereWithinItsWindow() {
        taken(CheckerFixture.ORDER_CONFIRM)
                .received("a-1", "r", 2 * S)
                .at(10 * S)
                .received("b-1", "r", 9550 * MS);
        assertFine();
        fixture.received("a-2", "r", 9550 * MS + 1);
        assertDuplicate("repeated after its window had passed");
    }

    @Test
    void theFirstIsTheOneThatWasSentFirstAlsoIfItArrivesLast() {
        taken(CheckerFixture.STOCK_HOLD).at(5 * S).received("a-2", "r", 3 * S + 51 * MS);
        assertFine();
        fixture.received("a-1", "r", 2 * S);
        assertDuplicate("repeated after its window had passed: at a-1 and 1.051");
    }

    @Test
    void aRefusalIsHarmlessOnlyIfItNeverRan() {
        taken(CheckerFixture.RAISE_INVOICE).received("a-1", "r").after(MS).answered("r", 503, "");
        assertDuplicate("refused with 503, but it may have run");
    }

    @Test
    void alsoForAKeyOfAZone() {
        taken(CheckerFixture.STOCK_HOLD).received("a-1", "r").after(MS).answered("r", 429, "");
        assertDuplicate("refused with 429, but it may have run");
    }

    @Test
    void notForAKeyOfAllNorWhereItDidNotRun() {
        taken(CheckerFixture.ORDER_CONFIRM).received("a-1", "r").after(MS).answered("r", 503, "");
        fixture.taken("s", CheckerFixture.RAISE_INVOICE, S).received("a-1", "s");
        fixture.checker.serverDidNotRun("a-1", 1, "s");
        fixture.after(MS).answered("s", 503, "");
        fixture.taken("t", CheckerFixture.RAISE_INVOICE, S)
                .readId("a-1", "t")
                .after(MS)
                .answered("t", 503, "");
        fixture.taken("u", CheckerFixture.RAISE_INVOICE, S)
                .received("a-1", "u")
                .after(MS)
                .answered("u", 502, "");
        assertFine();
    }

    @Test
    void whatArrivesAfterARefusalBreaksIt() {
        taken(CheckerFixture.RAISE_INVOICE)
                .answered("r", 503, "")
                .received("a-1", "r", fixture.now - MS);
        assertDuplicate("refused with 503, then it reached a-1");
    }

    @Test
    void afterAFailureItDoesNot() {
        taken(CheckerFixture.RAISE_INVOICE)
                .answered("r", 504, "")
                .received("a-1", "r", fixture.now - MS);
        assertFine();
    }

    @Test
    void whatABadClientHidesIsNotPassedOn() {
        fixture.checker.badClientHidRequest("bad-1", "hidden");
        fixture.readId("a-1", "bad-7");
        assertFine();
        fixture.readId("a-1", "hidden");
        assertDuplicate("hidden by a bad client");
    }
}
