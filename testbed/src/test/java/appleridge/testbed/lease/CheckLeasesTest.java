package appleridge.testbed.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.mutation.Planter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Runs {@code check-leases} on small scopes, and tests how states are merged. */
class CheckLeasesTest {
    /** Assumptions whose violation is found within ten thousand states; the command checks all. */
    private static final Set<String> QUICKLY_VIOLATED =
            Set.of(
                    "no-guard",
                    "no-guard-of-waiter",
                    "drift-ignored",
                    "pause-longer",
                    "take-over-not-waited-out",
                    "shrunk-at-once",
                    "token-repeats",
                    "release-undone",
                    "parts-rounded-up");

    @Test
    void shortScopesFindNoViolation() {
        for (String scope :
                List.of(
                        "timed asked 35 1 all 1 0 1 8",
                        "timed held 355 1 all 0 0 1 8",
                        "fenced held 44 1 STOPS 0 1 1 16")) {
            String output = StateExplorer.explore(scope);
            assertTrue(output.startsWith("sound"), scope + ": " + output);
        }
        assertTrue(StateExplorer.explore(BudgetShareModel.SCOPE).startsWith("sound"));
    }

    @Test
    void violationIsFoundWithoutEachAssumption() throws IOException {
        Planter planter = new Planter();
        int found = 0;
        for (SafetyAssumption assumption : SafetyAssumption.ALL) {
            if (QUICKLY_VIOLATED.contains(assumption.name())) {
                String output = CheckLeases.exploreWithout(assumption, planter);
                assertTrue(output.startsWith("broken: "), assumption.name() + ": " + output);
                found++;
            }
        }
        assertEquals(QUICKLY_VIOLATED.size(), found);
    }

    /** Guards against states that are merged without renumbering the holders. */
    @Test
    void statesThatDifferInHoldersWithEqualClocksAreMerged() {
        LeaseModel two = new LeaseModel(ExplorationScope.of("timed asked 44 0 - 0 0 1 9"));
        LeaseModel.Step first = two.steps().get(0);
        LeaseModel.Step second = two.steps().get(1);
        assertTrue(first.holder() != second.holder());
        assertEquals(two.after(first).key(0, 1), two.after(second).key(1, 0));
        assertTrue(!two.after(first).key(0, 1).equals(two.after(second).key(0, 1)));
    }

    @Test
    void unknownArgumentPrintsTheUsage() throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        assertEquals(2, new CheckLeases(new PrintStream(output)).run("no-such-assumption"));
        assertEquals(2, new CheckLeases(new PrintStream(output)).run("--deeper", "x"));
        assertTrue(output.toString().startsWith("usage: check-leases"));
    }
}
