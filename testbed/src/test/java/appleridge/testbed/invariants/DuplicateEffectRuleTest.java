package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class DuplicateEffectRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture accepted(int requestClass) {
        return fixture.at(S).accepted("r", requestClass, 60 * S).after(10 * MS);
    }

    private void assertDuplicate(String prefix) {
        assertEquals(List.of(Rule.DUPLICATE), fixture.rules());
        assertEquals(
                prefix, fixture.checker.violations().get(0).what().substring(0, prefix.length()));
    }

    private void assertNoViolation() {
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void secondCopyOfANonRepeatableRequestIsReported() {
        accepted(CheckerFixture.RAISE_INVOICE).received("a-1", "r").received("a-2", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void secondCopyAtTheSameServerIsReported() {
        accepted(CheckerFixture.RAISE_INVOICE).received("a-1", "r").after(MS).received("a-1", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void copyThatDidNotRunDoesNotCount() {
        accepted(CheckerFixture.RAISE_INVOICE).received("a-1", "r");
        fixture.checker.serverDidNotRun("a-1", 1, "r");
        fixture.after(MS).received("a-2", "r");
        assertNoViolation();
        fixture.checker.serverDidNotRun("a-2", 1, "r");
        fixture.after(MS).received("a-1", "r");
        assertNoViolation();
    }

    @Test
    void notRunResponseAfterTheSecondCopyIsTooLate() {
        accepted(CheckerFixture.RAISE_INVOICE).received("a-1", "r").received("a-2", "r");
        fixture.checker.serverDidNotRun("a-1", 1, "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void notRunResponseBeforeTheLastByteCounts() {
        accepted(CheckerFixture.RAISE_INVOICE).readId("a-1", "r", fixture.now);
        fixture.checker.serverDidNotRun("a-1", 1, "r");
        fixture.after(MS).received("a-2", "r");
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDECAR, "r", fixture.now - MS, fixture.now, MS);
        assertNoViolation();
    }

    @Test
    void notRunResponseCountsOnlyForItsServerAndIncarnation() {
        accepted(CheckerFixture.RAISE_INVOICE).received("a-1", "r");
        fixture.checker.serverDidNotRun("a-2", 1, "r");
        fixture.checker.serverDidNotRun("a-1", 2, "r");
        fixture.after(MS).received("a-2", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void arrivalIsMatchedToTheCopyOfItsServerAndIncarnation() {
        accepted(CheckerFixture.RAISE_INVOICE)
                .readId("a-2", "r", fixture.now)
                .readId("a-1", "r", fixture.now);
        fixture.checker.serverReadId("a-1", 2, CheckerFixture.SIDECAR, "r", fixture.now);
        fixture.checker.serverDidNotRun("a-1", 2, "r");
        fixture.checker.serverDidNotRun("a-2", 1, "r");
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDECAR, "r", fixture.now, fixture.now, MS);
        fixture.checker.serverReceived(
                "a-2", 1, CheckerFixture.SIDECAR, "r", fixture.now, fixture.now, MS);
        fixture.checker.serverReceived(
                "a-1", 2, CheckerFixture.SIDECAR, "r", fixture.now, fixture.now, MS);
        assertNoViolation();
        fixture.received("a-3", "r");
        assertDuplicate("may have run twice");
    }

    @Test
    void incompleteCopyDoesNotCount() {
        accepted(CheckerFixture.RAISE_INVOICE).readId("a-1", "r").after(MS).received("a-2", "r");
        assertNoViolation();
    }

    @Test
    void freelyRepeatableRequestMayBeRepeated() {
        accepted(CheckerFixture.STOCK_CHECK).received("a-1", "r").after(9 * S).received("b-1", "r");
        assertNoViolation();
    }

    @Test
    void zoneScopedKeyMustStayInItsZone() {
        accepted(CheckerFixture.STOCK_HOLD).received("a-1", "r").after(MS).received("a-2", "r");
        assertNoViolation();
        fixture.after(MS).received("b-1", "r");
        assertDuplicate("repeated in another zone");
    }

    @Test
    void zoneIsThatOfTheFirstCopyThatMayHaveRun() {
        accepted(CheckerFixture.STOCK_HOLD).received("b-1", "r");
        fixture.checker.serverDidNotRun("b-1", 1, "r");
        fixture.after(MS).received("a-1", "r").after(MS).received("a-2", "r");
        assertNoViolation();
    }

    @Test
    void repeatAfterTheWindowAndSlackIsReported() {
        accepted(CheckerFixture.STOCK_HOLD)
                .received("a-1", "r", 2 * S)
                .at(4 * S)
                .received("a-2", "r", 3 * S + 50 * MS);
        assertNoViolation();
        fixture.received("a-2", "r", 3 * S + 50 * MS + 1);
        assertDuplicate("repeated after its window had passed");
    }

    @Test
    void globalKeyMayBeRepeatedAnywhereWithinItsWindow() {
        accepted(CheckerFixture.ORDER_CONFIRM)
                .received("a-1", "r", 2 * S)
                .at(10 * S)
                .received("b-1", "r", 9550 * MS);
        assertNoViolation();
        fixture.received("a-2", "r", 9550 * MS + 1);
        assertDuplicate("repeated after its window had passed");
    }

    @Test
    void windowStartsWithTheCopySentFirstEvenIfItArrivesLast() {
        accepted(CheckerFixture.STOCK_HOLD).at(5 * S).received("a-2", "r", 3 * S + 51 * MS);
        assertNoViolation();
        fixture.received("a-1", "r", 2 * S);
        assertDuplicate("repeated after its window had passed: at a-1 and 1.051");
    }

    @Test
    void refusalOfARequestThatMayHaveRunIsReported() {
        accepted(CheckerFixture.RAISE_INVOICE)
                .received("a-1", "r")
                .after(MS)
                .answered("r", 503, "");
        assertDuplicate("refused with 503, but it may have run");
    }

    @Test
    void refusalWithAZoneScopedKeyIsReported() {
        accepted(CheckerFixture.STOCK_HOLD).received("a-1", "r").after(MS).answered("r", 429, "");
        assertDuplicate("refused with 429, but it may have run");
    }

    @Test
    void refusalIsAcceptedForAGlobalKeyOrIfNothingRan() {
        accepted(CheckerFixture.ORDER_CONFIRM)
                .received("a-1", "r")
                .after(MS)
                .answered("r", 503, "");
        fixture.accepted("s", CheckerFixture.RAISE_INVOICE, S).received("a-1", "s");
        fixture.checker.serverDidNotRun("a-1", 1, "s");
        fixture.after(MS).answered("s", 503, "");
        fixture.accepted("t", CheckerFixture.RAISE_INVOICE, S)
                .readId("a-1", "t")
                .after(MS)
                .answered("t", 503, "");
        fixture.accepted("u", CheckerFixture.RAISE_INVOICE, S)
                .received("a-1", "u")
                .after(MS)
                .answered("u", 502, "");
        assertNoViolation();
    }

    @Test
    void copyThatArrivesAfterARefusalIsReported() {
        accepted(CheckerFixture.RAISE_INVOICE)
                .answered("r", 503, "")
                .received("a-1", "r", fixture.now - MS);
        assertDuplicate("refused with 503, then it reached a-1");
    }

    @Test
    void copyThatArrivesAfterAFailureIsAccepted() {
        accepted(CheckerFixture.RAISE_INVOICE)
                .answered("r", 504, "")
                .received("a-1", "r", fixture.now - MS);
        assertNoViolation();
    }

    @Test
    void forwardedRequestHiddenByABadClientIsReported() {
        fixture.checker.badClientHidRequest("bad-1", "hidden");
        fixture.readId("a-1", "bad-7");
        assertNoViolation();
        fixture.readId("a-1", "hidden");
        assertDuplicate("hidden by a bad client");
    }
}
