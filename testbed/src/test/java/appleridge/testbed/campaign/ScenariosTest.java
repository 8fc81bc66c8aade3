package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.Verdict;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

class ScenariosTest {
    /** What was found and mended once stays mended. */
    @TestFactory
    List<DynamicTest> noRuleBreaksInAnyThatIsKept() throws IOException {
        List<Scenarios.Scenario> kept = Scenarios.kept();
        assertFalse(kept.isEmpty());
        return kept.stream()
                .map(
                        each ->
                                DynamicTest.dynamicTest(
                                        each.name(),
                                        () -> {
                                            Verdict verdict = DayPlayer.play(each.plan());
                                            assertTrue(
                                                    verdict.passed(),
                                                    () -> each.what() + "\n" + verdict.text());
                                        }))
                .toList();
    }

    @Test
    void eachSaysWhatItShowed() {
        Scenarios.Scenario read =
                Scenarios.read("late.txt", "# LATE: an answer came late.\nseed 3\n");
        assertEquals("late", read.name());
        assertEquals("LATE: an answer came late.", read.what());
        assertEquals(3, read.plan().seed());
        assertThrows(IllegalArgumentException.class, () -> Scenarios.read("late.txt", "seed 3\n"));
        String message =
                assertThrows(
                                IllegalArgumentException.class,
                                () -> Scenarios.read("late.txt", "# Late.\nsed 3\n"))
                        .getMessage();
        assertTrue(message.startsWith("late: line 2: "), message);
    }
}
