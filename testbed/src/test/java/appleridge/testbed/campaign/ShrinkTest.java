package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.testbed.invariants.Rule;
import appleridge.testbed.invariants.Verdict;
import appleridge.testbed.simulation.Plan;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ShrinkTest {
    /** Far more work than one server can do: what is asked at the end can't all be served. */
    private static final String TOO_MUCH =
            """
            seed 3
            set servers 1
            set cores 1
            set work 20
            set chunked 0.3
            at 2 wall-step who=n0 by=1
            at 3 close-idle who=s0
            on held 3 client-close
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    @TempDir private Path directory;

    private int run(String... words) {
        return new Shrink(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(words);
    }

    private String scenario(String text) throws IOException {
        Path file = directory.resolve("given.txt");
        Files.writeString(file, text);
        return file.toString();
    }

    @Test
    void aFailingDayIsCutDownToAScenarioThatFailsTheSame() throws IOException {
        Path file = directory.resolve("left.txt");
        assertEquals(
                0,
                run("--scenario", scenario(TOO_MUCH), "--out", file.toString(), "--plays", "60"));
        String text = Files.readString(file);
        assertTrue(text.startsWith("# NOT_RECOVERED at "), text);
        assertTrue(text.contains("\n# Cut down from seed 3.\n"), text);
        Plan left = Plan.parse(text);
        assertEquals(0, left.faults().size());
        Verdict verdict = DayPlayer.play(left);
        assertTrue(
                verdict.violations().stream().anyMatch(each -> each.rule() == Rule.NOT_RECOVERED));
        String said = out.toString(StandardCharsets.UTF_8);
        assertTrue(said.startsWith("NOT_RECOVERED: 0 of 3 faults and "), said);
        assertTrue(said.contains(" of 4 unusual sizes are left after "), said);
    }

    @Test
    void withoutAFileTheScenarioIsPrinted() throws IOException {
        assertEquals(
                0,
                run("--scenario", scenario(TOO_MUCH), "--plays", "0", "--rule", "not-recovered"));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("\nseed 3\n"));
    }

    @Test
    void whereNothingBreaksThereIsNothingToShrink() throws IOException {
        assertEquals(1, run("--scenario", scenario("seed 1\n")));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("no rule broken on seed 1"));
        assertEquals(1, run("--scenario", scenario(TOO_MUCH), "--rule", "CRASH"));
        assertFalse(Files.exists(directory.resolve("left.txt")));
    }

    @Test
    void whatMakesNoSenseIsRefused() {
        assertEquals(2, run());
        assertEquals(2, run("--seed", "1", "--scenario", "x"));
        assertEquals(2, run("--seed", "1", "--rule", "odd"));
        assertEquals(2, run("--scenario", directory.resolve("none").toString()));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("usage: shrink --seed N"));
    }
}
