package appleridge.testbed.campaign;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SimulateTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    @TempDir private Path directory;

    private int run(String... words) {
        return new Simulate(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(words);
    }

    private String said() {
        String all = out.toString(StandardCharsets.UTF_8);
        out.reset();
        return all;
    }

    @Test
    void manySeedsEndWithOneLine() {
        assertEquals(0, run("--seeds", "1-4", "--threads", "2"));
        String[] lines = said().split("\n");
        assertTrue(
                lines[lines.length - 1].matches(
                        "4 seeds, 0 broken rules, digest [0-9a-f]+, \\d+ simulated seconds a"
                                + " second"),
                lines[1]);
    }

    @Test
    void theTableIsPrintedOrWrittenForADocument() throws IOException {
        assertEquals(0, run("--seeds", "1-2", "--coverage"));
        assertTrue(said().contains("\nfault ") || out.size() == 0);
        Path file = directory.resolve("table.md");
        assertEquals(0, run("--coverage", file.toString(), "--seeds", "1-2"));
        assertTrue(Files.readString(file).startsWith("| fault | arriving |"));
    }

    @Test
    void aSeedIsPrintedAsAPersonReadsItAndPlayedAgainFromThat() throws IOException {
        assertEquals(0, run("--seed", "7", "--trace"));
        String trace = said();
        assertTrue(
                trace.contains("\nseed 7\n") && trace.contains("\n  26."),
                "a plan, then what happens");
        String verdict = trace.substring(trace.lastIndexOf("\nseed 7: no rule broken") + 1);
        Path file = directory.resolve("seven.txt");
        Files.writeString(file, trace.substring(0, trace.indexOf("\n   0.000000000")));
        assertEquals(0, run("--scenario", file.toString()));
        assertEquals(verdict, said());
    }

    @Test
    void allThatAreKeptArePlayed() throws IOException {
        assertEquals(0, run("--scenarios"));
        assertEquals(Scenarios.kept().size() + " scenarios, 0 broken rules\n", said());
    }

    @Test
    void aBrokenRuleIsToldAndIsTheStatus() throws IOException {
        Path file = directory.resolve("bad.txt");
        Files.writeString(file, "seed 3\nset servers 1\nset cores 1\nset work 20\n");
        assertEquals(1, run("--scenario", file.toString()));
        String said = said();
        assertTrue(said.startsWith("seed 3: ") && said.contains("\n  NOT_RECOVERED at "), said);
    }

    @Test
    void whatMakesNoSenseIsRefused() {
        refused("nothing to play");
        refused("the first of --seeds is a whole number, not x", "--seeds", "x");
        refused("unknown: --odd", "--seed", "1", "--odd");
        refused("--seed is a whole number, not one", "--seed", "one");
        String absent = directory.resolve("none").toString();
        refused("no such file: " + absent, "--scenario", absent);
    }

    @Test
    void aScenarioThatMakesNoSenseIsToldWithItsFileAndLine() throws IOException {
        Path file = directory.resolve("late.txt");
        Files.writeString(file, "seed 3\nset faults-end 4\nat 9 move\n");
        refused(
                file + ": line 3: the fault is too late: faults end at 4 s",
                "--scenario",
                file.toString());
    }

    /** What plays nothing, or not what was meant, must not be green. */
    @Test
    void whatWouldPlayNothingIsRefused() {
        refused("--threads is at least 1, not 0", "--seeds", "1-4", "--threads", "0");
        refused("--threads is at least 1, not -1", "--seeds", "1-4", "--threads", "-1");
        refused("no seeds from 5 to 1", "--seeds", "5-1");
        refused(
                "no seed as high as 9223372036854775807",
                "--seeds",
                "9223372036854775800-9223372036854775807");
        refused("the last of --seeds is a whole number", "--seeds", "1-9223372036854775808");
        refused(
                "one of --seeds, --seed, --scenario and --scenarios at a time",
                "--seed",
                "1",
                "--seeds",
                "1-2");
        refused("--trace is for one day", "--seeds", "1-2", "--trace");
        refused("--coverage and --threads go with --seeds", "--seed", "1", "--threads", "2");
    }

    private void refused(String why, String... words) {
        err.reset();
        assertEquals(2, run(words));
        String said = err.toString(StandardCharsets.UTF_8);
        assertTrue(
                said.startsWith("simulate: " + why) && said.contains("\nusage: simulate --seeds"),
                said);
    }
}
