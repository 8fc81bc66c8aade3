package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SentAfterRuleTest {
    private static final long MS = CheckerFixture.MS;

    /** One way, the quantum and the loop's work. */
    private static final long HEARD = 15 * MS;

    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture taken() {
        return fixture.at(CheckerFixture.S)
                .taken("r", CheckerFixture.STOCK_CHECK, 400 * MS)
                .after(10 * MS);
    }

    @Test
    void nothingIsSentAfterTheAnswer() {
        taken();
        fixture.checker.answered("r", 504, "", -1, fixture.now - MS);
        fixture.after(MS).readId("a-1", "r", fixture.now - 2 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "r", fixture.now - 2 * MS + 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void alsoIfTheAnswerIsReadAfterTheServerHasBegunToRead() {
        taken().readId("a-1", "r", fixture.now - MS);
        fixture.checker.answered("r", 504, "", -1, fixture.now - MS - 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void whatWasSentBeforeIsFine() {
        taken().readId("a-1", "r", fixture.now - MS);
        fixture.checker.answered("r", 504, "", -1, fixture.now - MS);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void nothingIsSentWhenTheClientIsKnownToHaveLeft() {
        taken();
        fixture.closed.put("r", fixture.now);
        fixture.checker.clientGaveUp("r");
        long left = fixture.now;
        fixture.after(50 * MS).readId("a-1", "r", left + HEARD);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "r", left + HEARD + 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void whoOnlyStopsWaitingIsNotHeard() {
        taken();
        fixture.checker.clientGaveUp("r");
        fixture.after(100 * MS).readId("a-1", "r");
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void aPauseKeepsItFromBeingHeard() {
        taken();
        long left = fixture.now;
        fixture.closed.put("r", left);
        fixture.checker.clientGaveUp("r");
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, left, left + 30 * MS);
        fixture.after(100 * MS).readId("a-1", "r", left + HEARD + 30 * MS);
        assertEquals(List.of(), fixture.rules());
        fixture.readId("a-1", "r", left + HEARD + 30 * MS + 1);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }

    @Test
    void alsoItsLastByte() {
        taken().readId("a-1", "r", fixture.now - MS);
        fixture.checker.answered("r", 504, "", -1, fixture.now);
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDE, "r", fixture.now - MS, fixture.now, 0);
        assertEquals(List.of(), fixture.rules());
        fixture.checker.serverReceived(
                "a-1", 1, CheckerFixture.SIDE, "r", fixture.now - MS, fixture.now + 1, 0);
        assertEquals(List.of(Rule.SENT_AFTER), fixture.rules());
    }
}
