package appleridge.testbed.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class IdleResourcesRuleTest {
    private static final long MS = CheckerFixture.MS;
    private static final long S = CheckerFixture.S;
    private static final ResourceCounts SOUND = new ResourceCounts(0, 0, 3, 2, 9, 100, List.of());
    private final CheckerFixture fixture = new CheckerFixture();

    @BeforeEach
    void begin() {
        fixture.resources = SOUND;
        fixture.clients = 3;
        fixture.upstreams = 2;
        // The look that follows the process's beginning.
        fixture.at(3 * S).taken("r", CheckerFixture.STOCK_CHECK, 400 * MS);
    }

    private void quiet() {
        fixture.after(10 * MS).received("a-1", "r").served("a-1", "r");
        fixture.after(3 * S);
    }

    private void assertFound(String what) {
        assertEquals(List.of(Rule.BOOKS), fixture.rules());
        assertTrue(
                fixture.checker.violations().get(0).what().contains(what),
                fixture.checker.violations().toString());
    }

    @Test
    void booksThatAgreeAreFine() {
        quiet();
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whileSomethingIsOpenNobodyLooks() {
        fixture.resources = new ResourceCounts(1, 1, 0, 0, 9, 100, List.of());
        fixture.after(10 * S);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void anAttemptThatIsOut() {
        fixture.resources = new ResourceCounts(0, 1, 3, 2, 9, 100, List.of());
        quiet();
        assertFound("1 attempts instead of 0");
    }

    @Test
    void aCallThatStays() {
        fixture.resources = new ResourceCounts(1, 0, 3, 2, 9, 100, List.of());
        quiet();
        assertFound("1 calls instead of 0");
    }

    @Test
    void aConnectionThatNobodyCounts() {
        fixture.resources = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        quiet();
        assertFound("2 client connections instead of 3");
    }

    @Test
    void orThatIsNoMore() {
        fixture.resources = new ResourceCounts(0, 0, 3, 3, 9, 100, List.of());
        quiet();
        assertFound("3 server connections instead of 2");
    }

    @Test
    void whatIsSoForAMomentIsLookedAtAgain() {
        fixture.after(10 * MS).received("a-1", "r").served("a-1", "r");
        fixture.resources = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        fixture.after(2 * S + 100 * MS);
        fixture.resources = SOUND;
        fixture.after(S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whereNoProcessRunsThereAreNoBooks() {
        fixture.resources = null;
        quiet();
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void whoStandsStillIsLookedAtLater() {
        fixture.after(10 * MS).received("a-1", "r").served("a-1", "r");
        fixture.checker.sidecarPaused(CheckerFixture.SIDE, fixture.now, fixture.now + 5 * S);
        fixture.resources = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        fixture.after(6 * S);
        assertEquals(List.of(), fixture.rules());
        fixture.after(2 * S);
        assertFound("2 client connections");
    }
}
