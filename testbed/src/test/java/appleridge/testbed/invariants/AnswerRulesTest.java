package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerRulesTest {
    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture taken() {
        return fixture.at(CheckerFixture.S)
                .taken("r", CheckerFixture.STOCK_CHECK, 400 * CheckerFixture.MS)
                .after(5 * CheckerFixture.MS)
                .received("a-1", "r");
    }

    @Test
    void whatAServerMadeForItIsServed() {
        taken().served("a-1", "r").at(60 * CheckerFixture.S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whatNoServerMadeIsWrong() {
        taken().answered("r", 200, "invented");
        assertEquals(List.of(Rule.WRONG_ANSWER), fixture.rules());
    }

    @Test
    void whatWasMadeForAnotherIsWrong() {
        taken().taken("s", CheckerFixture.STOCK_CHECK, 400 * CheckerFixture.MS)
                .received("a-1", "s");
        fixture.checker.serverAnswered("a-1", 1, "r", "for r");
        fixture.checker.serverAnswered("a-1", 1, "s", "for s");
        fixture.answered("r", 200, "for s");
        assertEquals(List.of(Rule.WRONG_ANSWER), fixture.rules());
        assertTrue(fixture.checker.violations().get(0).what().endsWith("it was made for s"));
    }

    @Test
    void eitherOfTwoAnswersMadeForItIsRight() {
        taken().received("a-2", "r");
        fixture.checker.serverAnswered("a-1", 1, "r", "one");
        fixture.checker.serverAnswered("a-2", 1, "r", "two");
        fixture.answered("r", 200, "one");
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void aBodyThatFailsNeedNotBeMade() {
        taken().answered("r", 502, "bad gateway");
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void aSecondAnswerIsOneTooMany() {
        taken().served("a-1", "r").answered("r", 504, "");
        assertEquals(List.of(Rule.TWO_ANSWERS), fixture.rules());
    }

    @Test
    void bytesBehindAnAnswerAreOneTooMany() {
        taken().served("a-1", "r");
        fixture.checker.answerBroken("r", "noise", true);
        assertEquals(List.of(Rule.TWO_ANSWERS), fixture.rules());
    }

    @Test
    void aKeptConnectionMayEndAfterAnAnswer() {
        taken().served("a-1", "r");
        fixture.checker.answerBroken("r", "closed", false);
        assertEquals(List.of(), fixture.rules());
    }
}
