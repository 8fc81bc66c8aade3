package appleridge.testbed.mutation;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.Rule;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

class FaultFileTest {
    private static final String ONE =
            """
            # a comment

            fault  once-resent
              what   It is sent again.
              file   decision/Module
              in     void send() {
              line   case ONCE -> false;
              with   case ONCE -> true;
              rules  DUPLICATE LATE
            """;

    @Test
    void readsAllThatIsSaidOfAFault() {
        PlantedFault fault = FaultFile.parse(ONE + "  seen  LATE 17 3\n").get(0);
        assertEquals(
                new PlantedFault(
                        "once-resent",
                        "It is sent again.",
                        List.of(
                                new Edit(
                                        "decision/Module",
                                        "void send() {",
                                        "case ONCE -> false;",
                                        "case ONCE -> true;")),
                        List.of("DUPLICATE", "LATE"),
                        null,
                        new PlantedFault.Seen("LATE", 17, 3)),
                fault);
        assertEquals(
                new PlantedFault.Seen("LATE", 0, 0),
                FaultFile.parse(ONE + "  seen  LATE\n").get(0).seen());
        assertEquals(
                "Nobody looks.",
                FaultFile.parse(ONE + "  unseen  Nobody looks.\n").get(0).unseen());
    }

    @Test
    void faultMayHaveSeveralEdits() {
        PlantedFault fault = FaultFile.parse(ONE + "  file  B\n  line  x\n  with\n").get(0);
        assertEquals(new Edit("B", null, "x", ""), fault.edits().get(1));
        assertEquals(2, fault.edits().size());
    }

    @Test
    void replacementMayBeNothing() {
        PlantedFault fault =
                FaultFile.parse(ONE.replace("with   case ONCE -> true;", "with")).get(0);
        assertEquals("", fault.edits().get(0).replacement());
        assertNull(fault.seen());
    }

    @Test
    void whatIsWrongIsToldWithItsLine() {
        refuses("line 1: no property of a fault: file", "file x\n");
        refuses("line 4: no property of a fault: lime", ONE.replace("what", "lime"));
        refuses("line 4: no property of a fault: line", ONE.replace("  what", "  line x\n  what"));
        refuses("line 9: a second time: rules", ONE.replace("with ", "rules"));
        refuses("line 12: a second fault of this name: once-resent", ONE + ONE);
        refuses("line 3: fault without line", ONE.replace("line", "#line"));
        refuses("line 3: fault without file", "\n\nfault a\nwhat b\nrules c\n");
        String notSeen = "line 3: not a rule, or a rule, a seed and the number of seeds played: ";
        refuses(notSeen + "LATE 7", ONE + "  seen  LATE 7\n");
        refuses(notSeen + "LATE 7 x", ONE + "  seen  LATE 7 x\n");
    }

    private static void refuses(String why, String text) {
        assertEquals(
                why,
                assertThrows(IllegalArgumentException.class, () -> FaultFile.parse(text))
                        .getMessage());
    }

    @Test
    void recordTakesTheNewFindingForTheOldOne() {
        String text =
                ONE
                        + "  seen  LATE 17 3\n"
                        + ONE.replace("once-resent", "other")
                        + "  seen  LATE 1 1\n";
        List<PlantedFault> faults = FaultFile.parse(text);
        String recorded =
                FaultFile.record(
                        text,
                        new Finding(
                                faults.get(0),
                                "DUPLICATE",
                                40,
                                5,
                                "DUPLICATE at 3 s",
                                "seed 40\n"));
        List<PlantedFault> again = FaultFile.parse(recorded);
        assertEquals(new PlantedFault.Seen("DUPLICATE", 40, 5), again.get(0).seen());
        assertEquals(faults.get(1), again.get(1));
        assertTrue(recorded.startsWith("# a comment\n\nfault  once-resent\n"), recorded);
    }

    @Test
    void tableHasARowForEachFault() {
        List<PlantedFault> faults =
                FaultFile.parse(
                        ONE
                                + "  seen LATE 17 3\n"
                                + ONE.replace("once-resent", "b")
                                + "  seen LATE\n"
                                + ONE.replace("once-resent", "c")
                                + ONE.replace("once-resent", "d")
                                + "  unseen  Nobody | looks.\n");
        assertEquals(
                """
                | fault | what is wrong | found by rule | seeds tried | day |
                | --- | --- | --- | ---: | --- |
                | `once-resent` | It is sent again. | LATE | 3 | seed 17 |
                | `b` | It is sent again. | LATE | a scenario | written by hand |
                | `c` | It is sent again. | **not found** | | |

                | fault | what is wrong | why no day shows it |
                | --- | --- | --- |
                | `d` | It is sent again. | Nobody \\| looks. |
                """,
                FindingsTable.ofRecords(faults));
    }

    /** What is packed names rules that there are, and has a day for each fault that was found. */
    @Test
    void packedFaultsAreComplete() throws IOException {
        for (PlantedFault fault : FaultFile.packed()) {
            fault.rules()
                    .forEach(rule -> assertDoesNotThrow(() -> Rule.valueOf(rule), fault.name()));
            assertTrue(
                    fault.seen() == null || fault.rules().contains(fault.seen().rule()),
                    fault.name());
            if (fault.showable()) {
                assertNotNull(fault.seen(), fault.name());
                assertNotNull(KeptDays.packed(fault.name()), fault.name());
            }
        }
    }
}
