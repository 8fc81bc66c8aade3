package appleridge.config.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Reading of the section {@code [leases]}. */
class LeasesSectionTest {
    private static final Path EXAMPLE = Path.of("..", "deploy", "leases.example.toml");
    private static final String START = "version = 1\n[leases]\nservers = [\"192.0.2.1:2181\"]\n";

    private static OperatorFile.Inspection read(String text) {
        return OperatorFile.inspect(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void exampleFileHasTheDefaults() {
        OperatorFile.Inspection inspection = OperatorFile.inspect(EXAMPLE);
        assertEquals(List.of(), inspection.findings().lines());
        for (Setting each : inspection.findings().settings()) {
            assertFalse(each.isChanged() && !each.path().equals("leases.servers"), each.path());
        }
        LeasesSection example = inspection.file().leases().orElseThrow();
        assertEquals(Duration.ofSeconds(15), example.term());
        assertEquals(10_000, example.driftPpm());
        assertEquals(Duration.ofMillis(20_700), example.maxHandover());
        String text = CheckText.of(new CheckReport(null, null, null, EXAMPLE, inspection));
        assertTrue(
                text.contains(
                        "leases are stored under /appleridge/leases on 3 coordination servers\n"),
                text);
    }

    @Test
    void missingSectionIsEmpty() {
        assertTrue(read("version = 1").file().leases().isEmpty());
    }

    @Test
    void problemsAreReportedWithTheirPosition() {
        Map<String, String> problems = new LinkedHashMap<>();
        problems.put("version = 1\n[leases]", "line 2, column 1: leases.servers: missing");
        problems.put(
                START + "root = \"/\"",
                "line 4, column 1: leases.root: is the ZooKeeper root; give the leases a path of"
                        + " their own");
        problems.put(
                START + "term = \"9s\"",
                "line 4, column 1: leases.term: is too short: guard, "
                        + "drift, kill-after and twice renew-every require at least 10102ms");
        problems.put(
                START + "longest-act = \"1s\"",
                "line 4, column 1: leases.longest-act: is too short: "
                        + "kill-after and the time to kill processes require at least 3500ms");
        problems.put(
                START + "drift = 0.2",
                "line 4, column 1: leases.drift: 0.2 is out of range: from 0 to " + "0.05");
        problems.put(START + "kill = \"1s\"", "line 4, column 1: leases.kill: unknown key");
        problems.put(START + "[leases.tls]", "line 4, column 1: leases.tls.trust-store: missing");
        problems.forEach(
                (text, problem) ->
                        assertEquals(List.of(problem), read(text).findings().lines(), text));
    }
}
