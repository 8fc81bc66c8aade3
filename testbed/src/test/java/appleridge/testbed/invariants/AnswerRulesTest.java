package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerRulesTest {
    private final CheckerFixture fixture = new CheckerFixture();

    private CheckerFixture accepted() {
        return fixture.at(CheckerFixture.S)
                .accepted("r", CheckerFixture.STOCK_CHECK, 400 * CheckerFixture.MS)
                .after(5 * CheckerFixture.MS)
                .received("a-1", "r");
    }

    @Test
    void servedAnswerMadeByAServerIsAccepted() {
        accepted().served("a-1", "r").at(60 * CheckerFixture.S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void servedAnswerThatNoServerMadeIsReported() {
        accepted().answered("r", 200, "invented");
        assertEquals(List.of(Rule.WRONG_ANSWER), fixture.rules());
    }

    @Test
    void answerMadeForAnotherRequestIsReported() {
        accepted()
                .accepted("s", CheckerFixture.STOCK_CHECK, 400 * CheckerFixture.MS)
                .received("a-1", "s");
        fixture.checker.serverAnswered("a-1", 1, "r", "for r");
        fixture.checker.serverAnswered("a-1", 1, "s", "for s");
        fixture.answered("r", 200, "for s");
        assertEquals(List.of(Rule.WRONG_ANSWER), fixture.rules());
        assertTrue(fixture.checker.violations().get(0).what().endsWith("it was made for s"));
    }

    @Test
    void anyOfTwoAnswersMadeForTheRequestIsAccepted() {
        accepted().received("a-2", "r");
        fixture.checker.serverAnswered("a-1", 1, "r", "one");
        fixture.checker.serverAnswered("a-2", 1, "r", "two");
        fixture.answered("r", 200, "one");
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void errorAnswerNeedNotComeFromAServer() {
        accepted().answered("r", 502, "bad gateway");
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void secondAnswerIsReported() {
        accepted().served("a-1", "r").answered("r", 504, "");
        assertEquals(List.of(Rule.TWO_ANSWERS), fixture.rules());
    }

    @Test
    void bytesAfterAnAnswerAreReported() {
        accepted().served("a-1", "r");
        fixture.checker.answerBroken("r", "noise", true);
        assertEquals(List.of(Rule.TWO_ANSWERS), fixture.rules());
    }

    @Test
    void connectionMayCloseAfterAnAnswer() {
        accepted().served("a-1", "r");
        fixture.checker.answerBroken("r", "closed", false);
        assertEquals(List.of(), fixture.rules());
    }
}
