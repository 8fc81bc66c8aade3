package appleridge.testbed.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the packaged demo with the packaged sidecar. */
@Timeout(180)
class DemoIT {
    @TempDir private Path temporary;

    private Process demo(String... args) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Djava.io.tmpdir=" + temporary,
                                "-XX:-UsePerfData",
                                "-jar",
                                "target/testbed.jar",
                                "demo"));
        command.addAll(List.of(args));
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    private boolean leftNothing() throws IOException {
        try (Stream<Path> left = Files.list(temporary)) {
            return left.findAny().isEmpty();
        }
    }

    @Test
    void fourRulesHoldAndNoFilesAreLeft() throws Exception {
        Process demo = demo("--seconds", "6");
        String output = new String(demo.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, demo.waitFor(), output);
        for (String rule :
                new String[] {
                    "no request is lost +kept",
                    "no effect happens twice +kept",
                    "drains are kept +kept",
                    "no cold server is pushed over +kept",
                    "the four rules held"
                }) {
            assertTrue(output.lines().anyMatch(line -> line.matches(rule + ".*")), output);
        }
        assertTrue(leftNothing());
    }

    /** Guards against a sidecar or a temporary folder that outlives a demo ended by a signal. */
    @Test
    void sidecarEndsWithATerminatedDemo() throws Exception {
        Process demo = demo("--seconds", "600");
        try (var output = demo.inputReader()) {
            String line = output.readLine();
            while (line != null && !line.contains("served")) {
                line = output.readLine();
            }
            List<ProcessHandle> children = demo.children().toList();
            assertEquals(1, children.size());
            demo.destroy();
            assertTrue(demo.waitFor(60, TimeUnit.SECONDS));
            children.get(0).onExit().get(60, TimeUnit.SECONDS);
            assertTrue(leftNothing());
        } finally {
            demo.destroyForcibly();
        }
    }

    @Test
    void missingJarIsNamed() throws Exception {
        Process demo = demo("--jar", "no-such.jar");
        String output = new String(demo.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, demo.waitFor());
        assertTrue(output.startsWith("demo: no such file: no-such.jar"), output);
    }
}
