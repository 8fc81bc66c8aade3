package appleridge.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.PackagedClasses;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged jar as a process and checks its exit status, its standard error and that
 * standard output consists of complete frames.
 */
class PackagedJarIT {
    @TempDir private Path folder;

    private record Result(int status, byte[] out, String err) {}

    private static Result run(byte[] input, String... args)
            throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-jar",
                                "target/appleridge.jar"));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).start();
        try (OutputStream in = process.getOutputStream()) {
            in.write(input);
        } catch (IOException e) {
            // The process may have rejected its arguments and exited before reading.
        }
        byte[] out = process.getInputStream().readAllBytes();
        String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Result(process.waitFor(), out, err);
    }

    @Test
    void endOfInputExitsWithSuccess() throws Exception {
        Result result = run(new byte[0], "adapter");
        assertEquals(0, result.status);
        assertEquals(0, result.out.length);
    }

    @Test
    void malformedInputExitsWithOneErrorLineAndNoOutput() throws Exception {
        byte[] provision =
                new SimulatorAdapterTest.EventFrame()
                        .provision(1, SimulatorAdapterTest.SETTINGS)
                        .bytes(1);
        Map<String, byte[]> malformed =
                Map.of(
                        "header cut short",
                        new byte[] {1, 2, 3},
                        "ends after",
                        Arrays.copyOf(provision, provision.length - 3),
                        "unknown event code 99",
                        new SimulatorAdapterTest.EventFrame().record(99).end().bytes(1),
                        "rules.rampTime is missing; allowed: a number",
                        new SimulatorAdapterTest.EventFrame()
                                .provision(
                                        1,
                                        SimulatorAdapterTest.SETTINGS.replace(
                                                "rules.rampTime", "x"))
                                .bytes(1));
        for (Map.Entry<String, byte[]> each : malformed.entrySet()) {
            Result result = run(each.getValue(), "adapter");
            assertEquals(1, result.status, each.getKey());
            assertEquals(0, result.out.length, each.getKey());
            assertTrue(
                    result.err.contains("frame 0: ") && result.err.contains(each.getKey()),
                    result.err);
            assertTrue(
                    result.err.strip().lines().count() == 1,
                    "one line, no stack trace: " + result.err);
        }
    }

    @Test
    void repliesBeforeAMalformedFrameAreComplete() throws Exception {
        byte[] empty = new SimulatorAdapterTest.EventFrame().bytes(5);
        Result result = run(SimulatorAdapterTest.join(empty, empty, new byte[] {9}), "adapter");
        assertEquals(1, result.status);
        assertArrayEquals(new byte[] {0, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 8, 0, 0, 0}, result.out);
        assertTrue(result.err.contains("frame 2: header cut short"), result.err);
    }

    /** Guards against loading the classes of a feature that is disabled. */
    @Test
    void classesOfDisabledFeaturesAreNotLoaded() throws Exception {
        for (String command : List.of("adapter", "warm-up")) {
            Path log = folder.resolve(command);
            ProcessBuilder builder =
                    new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-Xlog:class+load:file=" + log,
                            "-jar",
                            "target/appleridge.jar",
                            command);
            builder.environment().put("BALANCER_CONFIG", "../deploy/warm-up.json");
            Process process = builder.redirectErrorStream(true).start();
            process.getOutputStream().close();
            process.getInputStream().readAllBytes();
            assertEquals(0, process.waitFor(), command);
            String loaded = Files.readString(log);
            assertTrue(loaded.contains("appleridge.daemon.Main"), command);
            for (String disabled :
                    List.of(
                            "picocli",
                            "appleridge.lease",
                            "org.apache.zookeeper",
                            "appleridge.config.operator")) {
                PackagedClasses.assertPackaged(disabled);
                assertFalse(loaded.contains(" " + disabled), command + " loads " + disabled);
            }
        }
    }

    @Test
    void invalidTaskCommandIsNotStarted() throws Exception {
        Path file = Files.writeString(folder.resolve("operator.toml"), "version = 1\n");
        for (String[] each :
                new String[][] {
                    {"no command after --", "task", "--lease", "a"},
                    {
                        file + ": has no section [leases]",
                        "task",
                        "--operator",
                        file.toString(),
                        "--lease",
                        "a",
                        "--",
                        "true"
                    }
                }) {
            Result result = run(new byte[0], Arrays.copyOfRange(each, 1, each.length));
            assertEquals(2, result.status, result.err);
            assertTrue(
                    result.err.startsWith("appleridge: " + each[0] + "\nUsage: task "), result.err);
        }
    }

    @Test
    void wrongArgumentsShowUsage() throws Exception {
        Result result = run(new byte[0]);
        assertEquals(2, result.status);
        assertTrue(result.err.startsWith("usage:"), result.err);
    }
}
