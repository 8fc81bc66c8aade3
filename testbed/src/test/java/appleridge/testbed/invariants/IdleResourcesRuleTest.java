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
        fixture.clientConnections = 3;
        fixture.serverConnections = 2;
        // Passes the check that follows the start of the process.
        fixture.at(3 * S).accepted("r", CheckerFixture.STOCK_CHECK, 400 * MS);
    }

    private void finishAndWait() {
        fixture.after(10 * MS).received("a-1", "r").served("a-1", "r");
        fixture.after(3 * S);
    }

    private void assertViolation(String what) {
        assertEquals(List.of(Rule.BOOKS), fixture.rules());
        assertTrue(
                fixture.checker.violations().get(0).what().contains(what),
                fixture.checker.violations().toString());
    }

    @Test
    void matchingCountsAreAccepted() {
        finishAndWait();
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void countsAreNotCheckedWhileARequestIsOpen() {
        fixture.resources = new ResourceCounts(1, 1, 0, 0, 9, 100, List.of());
        fixture.after(10 * S);
        assertEquals(List.of(Rule.LATE), fixture.rules());
    }

    @Test
    void leftoverAttemptIsReported() {
        fixture.resources = new ResourceCounts(0, 1, 3, 2, 9, 100, List.of());
        finishAndWait();
        assertViolation("1 attempts instead of 0");
    }

    @Test
    void leftoverCallIsReported() {
        fixture.resources = new ResourceCounts(1, 0, 3, 2, 9, 100, List.of());
        finishAndWait();
        assertViolation("1 calls instead of 0");
    }

    @Test
    void uncountedConnectionIsReported() {
        fixture.resources = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        finishAndWait();
        assertViolation("2 client connections instead of 3");
    }

    @Test
    void countedConnectionThatNoLongerExistsIsReported() {
        fixture.resources = new ResourceCounts(0, 0, 3, 3, 9, 100, List.of());
        finishAndWait();
        assertViolation("3 server connections instead of 2");
    }

    @Test
    void shortMismatchIsCheckedAgain() {
        fixture.after(10 * MS).received("a-1", "r").served("a-1", "r");
        fixture.resources = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        fixture.after(2 * S + 100 * MS);
        fixture.resources = SOUND;
        fixture.after(S);
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void nothingIsCheckedWithoutAProcess() {
        fixture.resources = null;
        finishAndWait();
        assertEquals(List.of(), fixture.rules());
    }

    @Test
    void pausedSidecarIsCheckedAfterThePause() {
        fixture.after(10 * MS).received("a-1", "r").served("a-1", "r");
        fixture.checker.sidecarPaused(CheckerFixture.SIDECAR, fixture.now, fixture.now + 5 * S);
        fixture.resources = new ResourceCounts(0, 0, 2, 2, 9, 100, List.of());
        fixture.after(6 * S);
        assertEquals(List.of(), fixture.rules());
        fixture.after(2 * S);
        assertViolation("2 client connections");
    }
}
