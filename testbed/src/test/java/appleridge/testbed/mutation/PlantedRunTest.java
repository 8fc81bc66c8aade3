package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PlantedRunTest {
    private static final String DAY = OneRequestDay.class.getName();
    private static final String RULE = "DUPLICATE";
    private static final PlantedFault RESENT =
            fault(
                    "resent",
                    RULE,
                    "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                    "case NON_IDEMPOTENT -> RetryDecision.ALLOWED;",
                    null);
    private static final PlantedFault THROWS =
            new PlantedFault(
                    "throws",
                    "Something.",
                    List.of(
                            new Edit(
                                    "SymmetricRoundRobinPolicy",
                                    null,
                                    "discovery.subscribe(now);",
                                    "hosts.registry.hosts().iterator().next().attemptSent();")),
                    List.of(RULE),
                    null,
                    null);
    private static final PlantedFault HARMLESS =
            fault(
                    "harmless",
                    RULE,
                    "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                    "case NON_IDEMPOTENT ->"
                            + " 1 > 2 ? RetryDecision.ALLOWED : RetryDecision.NON_IDEMPOTENT;",
                    null);

    @Test
    void searchPlaysUntilARuleOfTheFaultBreaksAndCutsTheDayDown() throws IOException {
        List<Finding> told = new ArrayList<>();
        PlantedFault other =
                fault(
                        "other",
                        "LEAK",
                        "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                        "case NON_IDEMPOTENT -> RetryDecision.ALLOWED;",
                        null);
        List<Finding> found =
                run(null).search(List.of(RESENT, other, HARMLESS, THROWS), 4, 10, told::add);
        assertEquals(
                new Finding(RESENT, RULE, 6, 3, "DUPLICATE of 2 sends", "seed 6\n"), found.get(0));
        assertEquals(new Finding(other, "LATE", 6, 3, "LATE at all", null), found.get(1));
        assertEquals(Finding.none(HARMLESS, 10, "not found"), found.get(2));
        assertTrue(found.get(0).expected());
        assertFalse(found.get(1).expected());
        assertFalse(found.get(2).found());
        assertEquals("threw", found.get(3).rule());
        assertEquals(4, found.get(3).seed());
        assertEquals(4, told.size());
    }

    @Test
    void checkPlaysTheKeptDayAlone() throws IOException {
        PlantedFault recorded =
                fault(
                        "r",
                        RULE,
                        "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                        "case NON_IDEMPOTENT -> RetryDecision.ALLOWED;",
                        new PlantedFault.Seen(RULE, 9, 7));
        PlantedFault byHand =
                fault(
                        "h",
                        RULE,
                        "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                        "case NON_IDEMPOTENT -> RetryDecision.ALLOWED;",
                        new PlantedFault.Seen("LATE", 0, 0));
        PlantedFault other =
                fault(
                        "o",
                        RULE,
                        "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                        "case NON_IDEMPOTENT -> RetryDecision.ALLOWED;",
                        new PlantedFault.Seen("LEAK", 9, 7));
        List<PlantedFault> faults = List.of(recorded, byHand, other, RESENT);
        List<Finding> checked = run("seed 9\n").check(faults, finding -> {});
        assertEquals(
                new Finding(recorded, RULE, 9, 1, "DUPLICATE of 2 sends", "seed 9\n"),
                checked.get(0));
        assertEquals(
                List.of(true, true, false, false),
                checked.stream().map(PlantedRun::isAsRecorded).toList());
        assertFalse(
                run("seed 10\n").check(faults, finding -> {}).stream()
                        .anyMatch(PlantedRun::isAsRecorded));
        assertFalse(
                run(null).check(faults, finding -> {}).stream().anyMatch(PlantedRun::isAsRecorded));
    }

    @Test
    void keptDayIsTriedWithOtherSeedsFirst() throws IOException {
        PlantedFault recorded =
                fault(
                        "r",
                        RULE,
                        "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                        "case NON_IDEMPOTENT -> RetryDecision.ALLOWED;",
                        new PlantedFault.Seen(RULE, 9, 7));
        assertEquals(
                List.of(
                        new Finding(
                                recorded, RULE, 9, 7, "DUPLICATE of 2 sends", "seed 12\nrain\n")),
                run("seed 10\nrain\n").search(List.of(recorded), 10, 5, each -> {}));
    }

    @Test
    void whatTheSoundProductBreaksIsNoFinding() throws IOException {
        PlantedFault recorded =
                fault(
                        "r",
                        RULE,
                        "case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;",
                        "case NON_IDEMPOTENT ->"
                                + " 1 < 2 ? RetryDecision.ALLOWED : RetryDecision.NON_IDEMPOTENT;",
                        new PlantedFault.Seen("threw", 0, 0));
        Finding finding = run("no seed").check(List.of(recorded), each -> {}).get(0);
        assertFalse(PlantedRun.isAsRecorded(finding));
        assertTrue(finding.said().startsWith("also without the fault: threw"), finding.said());
    }

    private static PlantedRun run(String kept) throws IOException {
        return new PlantedRun(new Planter(), DAY, name -> kept, 2);
    }

    private static PlantedFault fault(
            String name, String rule, String original, String replacement, PlantedFault.Seen seen) {
        return new PlantedFault(
                name,
                "Something.",
                List.of(new Edit("RetryPolicy", null, original, replacement)),
                List.of(rule),
                null,
                seen);
    }
}
