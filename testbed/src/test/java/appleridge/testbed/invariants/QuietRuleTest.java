package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class QuietRuleTest {
    private static final long MS = Scene.MS;
    private static final long S = Scene.S;
    private static final ResourceCounts SOUND = new ResourceCounts(0, 0, 3, 2, 9, 100, List.of());
    private final Scene scene = new Scene();

    @BeforeEach
    void begin() {
        scene.books = SOUND;
        scene.clients = 3;
        scene.upstreams = 2;
        // The look that follows the process's beginning.
        scene.at(3 * S).taken("r", Scene.STOCK_CHECK, 400 * MS);
    }

    private void quiet() {
        scene.after(10 * MS).arrived("a-1", "r").served("a-1", "r");
        scene.after(3 * S);
    }

    private void assertFound(String what) {
        assertEquals(List.of(Rule.BOOKS), scene.rules());
        assertTrue(
                scene.judge.violations().get(0).what().contains(what),
                scene.judge.violations().toString());
    }

    @Test
    void booksThatAgreeAreFine() {
        quiet();
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whileSomethingIsOpenNobodyLooks() {
        scene.books = new ResourceCounts(1, 1, 0, 0, 9, 100, List.of());
        scene.after(10 * S);
        assertEquals(List.of(Rule.LATE), scene.rules());
    }

    @Test
    void anAttemptThatIsOut() {
        scene.books = new ResourceCounts(0, 1, 3, 2, 9, 100, List.of());
        quiet();
        assertFound("1 attempts where there are 0");
    }

    @Test
    void aCallThatStays() {
        scene.books = new ResourceCounts(1, 0, 3, 2, 9, 100, List.of());
        quiet();
        assertFound("1 calls where there are 0");
    }

    @Test
    void aConnectionThatNobodyCounts() {
        scene.books = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        quiet();
        assertFound("2 connections of clients where there are 3");
    }

    @Test
    void orThatIsNoMore() {
        scene.books = new ResourceCounts(0, 0, 3, 3, 9, 100, List.of());
        quiet();
        assertFound("3 connections to servers where there are 2");
    }

    @Test
    void whatIsSoForAMomentIsLookedAtAgain() {
        scene.after(10 * MS).arrived("a-1", "r").served("a-1", "r");
        scene.books = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        scene.after(2 * S + 100 * MS);
        scene.books = SOUND;
        scene.after(S);
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whereNoProcessRunsThereAreNoBooks() {
        scene.books = null;
        quiet();
        assertEquals(List.of(), scene.rules());
    }

    @Test
    void whoStandsStillIsLookedAtLater() {
        scene.after(10 * MS).arrived("a-1", "r").served("a-1", "r");
        scene.judge.sidecarPaused(Scene.SIDE, scene.now, scene.now + 5 * S);
        scene.books = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        scene.after(6 * S);
        assertEquals(List.of(), scene.rules());
        scene.after(2 * S);
        assertFound("2 connections of clients");
    }
}
