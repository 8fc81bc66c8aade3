package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerRulesTest {
    private final Scene scene = new Scene();

    private Scene taken() {
        return scene.at(Scene.S)
                .taken("r", Scene.STOCK_CHECK, 400 * Scene.MS)
                .after(5 * Scene.MS)
                .arrived("a-1", "r");
    }

    @Test
    void whatAServerMadeForItIsServed() {
        taken().served("a-1", "r").at(60 * Scene.S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whatNoServerMadeIsWrong() {
        taken().answered("r", 200, "invented");
        assertEquals(List.of(Rule.WRONG_ANSWER), scene.rules());
    }

    @Test
    void whatWasMadeForAnotherIsWrong() {
        taken().taken("s", Scene.STOCK_CHECK, 400 * Scene.MS).arrived("a-1", "s");
        scene.judge.serverAnswered("a-1", 1, "r", "for r");
        scene.judge.serverAnswered("a-1", 1, "s", "for s");
        scene.answered("r", 200, "for s");
        assertEquals(List.of(Rule.WRONG_ANSWER), scene.rules());
        assertTrue(scene.judge.violations().get(0).what().endsWith("it was made for s"));
    }

    @Test
    void eitherOfTwoAnswersMadeForItIsRight() {
        taken().arrived("a-2", "r");
        scene.judge.serverAnswered("a-1", 1, "r", "one");
        scene.judge.serverAnswered("a-2", 1, "r", "two");
        scene.answered("r", 200, "one");
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void aBodyThatFailsNeedNotBeMade() {
        taken().answered("r", 502, "bad gateway");
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void aSecondAnswerIsOneTooMany() {
        taken().served("a-1", "r").answered("r", 504, "");
        assertEquals(List.of(Rule.TWO_ANSWERS), scene.rules());
    }

    @Test
    void bytesBehindAnAnswerAreOneTooMany() {
        taken().served("a-1", "r");
        scene.judge.answerBroken("r", "noise", true);
        assertEquals(List.of(Rule.TWO_ANSWERS), scene.rules());
    }

    @Test
    void aKeptConnectionMayEndAfterAnAnswer() {
        taken().served("a-1", "r");
        scene.judge.answerBroken("r", "closed", false);
        assertEquals(List.of(), scene.rules());
    }
}
