package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ColdRuleTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;
    private final Scene scene = new Scene();

    private void born() {
        scene.at(S);
        scene.judge.serverState("a-1", 2, "Ready", S);
    }

    private void arrives(String sidecar, long sentAt) {
        scene.judge.serverReceived("a-1", 2, sidecar, "x", sentAt, sentAt, MS);
    }

    private void falls(double own, double others) {
        scene.judge.serverCollapsed("a-1", 2, Map.of(Scene.SIDE, own, "side-1", others));
    }

    @Test
    void twoThirdsOfTheWorkFromThoseWhoKnewIsTooMuch() {
        born();
        scene.told("a-1", "Ready", S).at(2 * S);
        falls(2, 1);
        assertEquals(List.of(Rule.COLD), scene.rules());
    }

    @Test
    void lessIsNot() {
        born();
        scene.told("a-1", "Ready", S).at(2 * S);
        falls(1.99, 1);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whoWasToldOfAnEarlierStartDoesNotKnow() {
        scene.told("a-1", "Ready", 0);
        born();
        scene.told("a-1", "Ready", 0).at(2 * S);
        falls(3, 0);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void aStartMayBeToldToTheMillisecond() {
        scene.at(S);
        scene.judge.serverState("a-1", 2, "Ready", S + MS - 1);
        scene.told("a-1", "Ready", S).at(2 * S);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), scene.rules());
    }

    @Test
    void whatCountsAsToldCounts() {
        born();
        scene.knows("a-1", "Ready", S);
        scene.judge.discoveryCall(Scene.SIDE, 1, true, 0);
        scene.at(7 * S + 1);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), scene.rules());
    }

    @Test
    void whatWasSentBeforeItWasToldDoesNotCount() {
        born();
        scene.at(2 * S).told("a-1", "Ready", S);
        for (int i = 0; i < 2; i++) {
            arrives(Scene.SIDE, 2 * S);
        }
        scene.at(2 * S + 100 * MS);
        arrives(Scene.SIDE, 2 * S + 50 * MS);
        falls(3, 0);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whatWasSentAfterItDoes() {
        born();
        scene.at(2 * S).told("a-1", "Ready", S);
        arrives(Scene.SIDE, 2 * S);
        scene.at(2 * S + 100 * MS);
        for (int i = 0; i < 2; i++) {
            arrives(Scene.SIDE, 2 * S + 50 * MS);
        }
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), scene.rules());
    }

    @Test
    void toldAgainItIsNoLater() {
        born();
        scene.at(2 * S).told("a-1", "Ready", S).at(2 * S + 100 * MS).told("a-1", "Ready", S);
        arrives(Scene.SIDE, 2 * S + 50 * MS);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), scene.rules());
    }

    @Test
    void othersWorkIsNotItsOwn() {
        born();
        scene.at(2 * S).told("a-1", "Ready", S);
        arrives(Scene.SIDE, 2 * S);
        arrives("side-1", 2 * S + 50 * MS);
        arrives("side-1", 2 * S + 50 * MS);
        falls(3, 0);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whatCameBeforeTheWindowDoesNotCount() {
        born();
        arrives(Scene.SIDE, S);
        arrives(Scene.SIDE, S);
        scene.at(2 * S).told("a-1", "Ready", S).at(2600 * MS);
        arrives(Scene.SIDE, 2600 * MS);
        falls(3, 0);
        assertEquals(List.of(Rule.COLD), scene.rules());
    }
}
