package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SentAfterRuleTest {
    private static final long MS = Scene.MS;

    /** One way, the quantum and the loop's work. */
    private static final long HEARD = 15 * MS;

    private final Scene scene = new Scene();

    private Scene taken() {
        return scene.at(Scene.S).taken("r", Scene.STOCK_CHECK, 400 * MS).after(10 * MS);
    }

    @Test
    void nothingIsSentAfterTheAnswer() {
        taken();
        scene.judge.answered("r", 504, "", -1, scene.now - MS);
        scene.after(MS).begun("a-1", "r", scene.now - 2 * MS);
        assertEquals(List.of(), scene.rules());
        scene.begun("a-1", "r", scene.now - 2 * MS + 1);
        assertEquals(List.of(Rule.SENT_AFTER), scene.rules());
    }

    @Test
    void alsoIfTheAnswerIsReadAfterTheServerHasBegunToRead() {
        taken().begun("a-1", "r", scene.now - MS);
        scene.judge.answered("r", 504, "", -1, scene.now - MS - 1);
        assertEquals(List.of(Rule.SENT_AFTER), scene.rules());
    }

    @Test
    void whatWasSentBeforeIsFine() {
        taken().begun("a-1", "r", scene.now - MS);
        scene.judge.answered("r", 504, "", -1, scene.now - MS);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void nothingIsSentWhenTheClientIsKnownToHaveLeft() {
        taken();
        scene.closed.put("r", scene.now);
        scene.judge.clientGaveUp("r");
        long left = scene.now;
        scene.after(50 * MS).begun("a-1", "r", left + HEARD);
        assertEquals(List.of(), scene.rules());
        scene.begun("a-1", "r", left + HEARD + 1);
        assertEquals(List.of(Rule.SENT_AFTER), scene.rules());
    }

    @Test
    void whoOnlyStopsWaitingIsNotHeard() {
        taken();
        scene.judge.clientGaveUp("r");
        scene.after(100 * MS).begun("a-1", "r");
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void aPauseKeepsItFromBeingHeard() {
        taken();
        long left = scene.now;
        scene.closed.put("r", left);
        scene.judge.clientGaveUp("r");
        scene.judge.sidecarPaused(Scene.SIDE, left, left + 30 * MS);
        scene.after(100 * MS).begun("a-1", "r", left + HEARD + 30 * MS);
        assertEquals(List.of(), scene.rules());
        scene.begun("a-1", "r", left + HEARD + 30 * MS + 1);
        assertEquals(List.of(Rule.SENT_AFTER), scene.rules());
    }

    @Test
    void alsoItsLastByte() {
        taken().begun("a-1", "r", scene.now - MS);
        scene.judge.answered("r", 504, "", -1, scene.now);
        scene.judge.serverReceived("a-1", 1, Scene.SIDE, "r", scene.now - MS, scene.now, 0);
        assertEquals(List.of(), scene.rules());
        scene.judge.serverReceived("a-1", 1, Scene.SIDE, "r", scene.now - MS, scene.now + 1, 0);
        assertEquals(List.of(Rule.SENT_AFTER), scene.rules());
    }
}
