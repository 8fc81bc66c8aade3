package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class SameIdRuleTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;

    private final Scene scene = new Scene();

    private void passedOn(long sentAt, int status, long answeredAt) {
        scene.at(S).taken("r", Scene.STOCK_CHECK, 400 * MS);
        scene.judge.badClientReusedId("bad-1", "bad-r", "r");
        scene.at(S + 100 * MS).begun("a-1", "bad-r", sentAt);
        scene.judge.answered("r", status, "", -1, answeredAt);
    }

    @Test
    void nothingIsPassedOnUnderAnOpenId() {
        passedOn(S + 50 * MS, 504, S + 90 * MS);
        assertEquals(List.of(Rule.DUPLICATE), scene.rules());
    }

    @Test
    void alsoIfTheServerReadsItLater() {
        scene.at(S).taken("r", Scene.STOCK_CHECK, 400 * MS);
        scene.judge.badClientReusedId("bad-1", "bad-r", "r");
        scene.judge.answered("r", 504, "", -1, S + 90 * MS);
        scene.at(S + 100 * MS).begun("a-1", "bad-r", S + 50 * MS);
        assertEquals(List.of(Rule.DUPLICATE), scene.rules());
    }

    @Test
    void behindItsAnswerTheIdIsFree() {
        passedOn(S + 89 * MS, 504, S + 90 * MS);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whoeverCameSecondWasTurnedAway() {
        passedOn(S + 50 * MS, 409, S + 90 * MS);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void oneThatIsStillUnreadMayBeTheSecond() {
        scene.unread.add("r");
        passedOn(S + 50 * MS, 504, S + 90 * MS);
        assertEquals(List.of(), scene.rules());
    }
}
