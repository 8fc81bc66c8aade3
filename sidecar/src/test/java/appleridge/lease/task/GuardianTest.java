package appleridge.lease.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.lease.LeaseParameters;
import appleridge.lease.store.LeaseClock;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guardians as real processes, with real commands. */
@Timeout(60)
class GuardianTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @TempDir private Path directory;
    private final LeaseClock clock = LeaseClock.system(SECOND, line -> {});
    private final TaskSettings settings =
            new TaskSettings(
                    null,
                    LeaseParameters.timed(10 * SECOND, 0, SECOND, SECOND, 0, 0),
                    300 * MILLISECOND,
                    200 * MILLISECOND);
    private final List<GuardedProcess> started = new ArrayList<>();
    private Path out;
    private String nonce;

    @BeforeEach
    void setUp() {
        out = directory.resolve("out");
        nonce = "g" + ProcessHandle.current().pid() + "-" + directory.getFileName();
    }

    @AfterEach
    void killProcesses() {
        for (GuardedProcess each : started) {
            new ProcessTree(nonce, each.guardian().toHandle()).kill();
            each.guardian().destroyForcibly();
        }
    }

    private GuardedProcess startGuardian(String script) throws Exception {
        return startGuardian(List.of("bash", "-c", script, "x", out.toString()));
    }

    private GuardedProcess startGuardian(List<String> command) throws Exception {
        GuardedProcess process = new GuardedProcess(clock, settings, nonce, "nightly", 12, command);
        started.add(process);
        return process;
    }

    private static void suspend(GuardedProcess process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-STOP", Long.toString(process.guardian().pid()))
                        .start()
                        .waitFor());
    }

    private String awaitReport(GuardedProcess process) throws Exception {
        GuardianReport report = process.pollReport(clock.nanoTime());
        while (report == null) {
            Thread.sleep(5);
            report = process.pollReport(clock.nanoTime());
        }
        assertTrue(
                new ProcessTree(nonce, process.guardian().toHandle()).isEmpty(),
                "a process of the command is left");
        return report.text();
    }

    private void awaitOutput() throws Exception {
        while (!Files.exists(out) || Files.size(out) == 0) {
            Thread.sleep(5);
        }
    }

    @Test
    void commandGetsItsTokenAndItsExitStatusIsReported() throws Exception {
        GuardedProcess process =
                startGuardian("echo $APPLERIDGE_LEASE $APPLERIDGE_TOKEN > $1; exit 3");
        assertNull(process.pollReport(clock.nanoTime()));
        process.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertEquals("ended 3", awaitReport(process));
        assertEquals("nightly 12\n", Files.readString(out));
    }

    @Test
    void processesLeftByTheCommandAreKilled() throws Exception {
        GuardedProcess process =
                startGuardian("setsid --fork sleep 50; sleep 51 & trap '' TERM; exit 0");
        process.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertEquals("ended 0", awaitReport(process));
    }

    /** Guards against a command that runs beyond its deadline, in a session of its own or not. */
    @Test
    void processesIgnoringSigtermAreKilledBeforeTheDeadline() throws Exception {
        String writeLoop = "while :; do echo 1 >> $1; sleep 0.02; done";
        for (String script :
                List.of(
                        "trap '' TERM; " + writeLoop,
                        "setsid --fork bash -c \"trap '' TERM; "
                                + writeLoop.replace("$1", out.toString())
                                + "\"; sleep 50",
                        writeLoop)) {
            Files.deleteIfExists(out);
            GuardedProcess process = startGuardian(script);
            process.extendUntil(clock.nanoTime() + 20 * SECOND);
            awaitOutput();
            long deadlineMillis = System.currentTimeMillis() + 900;
            process.extendUntil(clock.nanoTime() + 900 * MILLISECOND);
            assertTrue(awaitReport(process).startsWith("stopped "), script);
            long overrunMillis = Files.getLastModifiedTime(out).toMillis() - deadlineMillis;
            assertTrue(
                    overrunMillis < 0,
                    script + " ran " + overrunMillis + " ms beyond its deadline");
        }
    }

    @Test
    void commandGetsSigtermFirst() throws Exception {
        GuardedProcess process =
                startGuardian(
                        "trap 'echo term > $1; exit 5' TERM; echo 1 > $1; while :; do sleep 0.01;"
                                + " done");
        process.extendUntil(clock.nanoTime() + 20 * SECOND);
        awaitOutput();
        process.stop();
        assertEquals("stopped 5", awaitReport(process));
        assertEquals("term\n", Files.readString(out));
    }

    /**
     * Guards against a guardian whose deadline is extended after SIGTERM, and which then never
     * sends SIGKILL.
     */
    @Test
    void terminationContinuesWhenTheDeadlineIsExtended() throws Exception {
        GuardedProcess process =
                startGuardian(
                        "trap 'echo term > $1; while :; do sleep 0.01; done' TERM; echo 1 > $1;"
                                + " while :; do sleep 0.01; done");
        process.extendUntil(clock.nanoTime() + 20 * SECOND);
        awaitOutput();
        process.extendUntil(clock.nanoTime() + 400 * MILLISECOND);
        while (!Files.readString(out).equals("term\n")) {
            Thread.sleep(1);
        }
        process.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertTrue(awaitReport(process).startsWith("stopped "));
    }

    @Test
    void commandIsNotStartedWhenTheDeadlineIsTooClose() throws Exception {
        GuardedProcess process = startGuardian("echo 1 > $1");
        process.extendUntil(clock.nanoTime() + 400 * MILLISECOND);
        assertEquals("never", awaitReport(process));
        assertTrue(Files.notExists(out));
        GuardedProcess stopped = startGuardian("echo 1 > $1");
        stopped.stop();
        assertEquals("never", awaitReport(stopped));
        assertTrue(Files.notExists(out));
    }

    @Test
    void missingCommandIsReported() throws Exception {
        GuardedProcess process = startGuardian(List.of("/no/such/command"));
        process.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertEquals("no-command", awaitReport(process));
    }

    /** Guards against a command that continues after its guardian was killed. */
    @Test
    void commandOfAKilledGuardianIsKilledByTheTask() throws Exception {
        GuardedProcess process = startGuardian("echo 1 > $1; sleep 50");
        process.extendUntil(clock.nanoTime() + 20 * SECOND);
        awaitOutput();
        process.guardian().destroyForcibly().waitFor();
        assertEquals("", awaitReport(process));
    }

    /** Guards against a failure that stops the guardian's only thread, which then ends nothing. */
    @Test
    void malformedInstructionEndsTheCommand() throws Exception {
        GuardedProcess process = startGuardian("echo 1 > $1; sleep 100");
        process.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOutput();
        OutputStream in = process.guardian().getOutputStream();
        in.write("go 12\n".getBytes(StandardCharsets.US_ASCII));
        in.flush();
        assertTrue(awaitReport(process).startsWith("stopped "));
    }

    /** Guards against a task that waits forever for the report of a stopped guardian. */
    @Test
    void stoppedGuardianIsKilledAfterTheDeadline() throws Exception {
        GuardedProcess process = startGuardian("echo 1 > $1; sleep 100");
        process.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOutput();
        suspend(process);
        process.extendUntil(clock.nanoTime() + SECOND);
        process.stop();
        process.extendUntil(clock.nanoTime() + 90 * SECOND);
        assertTrue(awaitReport(process).startsWith("stopped "));
    }

    /**
     * Guards against a command that has removed its mark and continues under a stopped guardian.
     */
    @Test
    void unmarkedChildOfAStoppedGuardianIsKilled() throws Exception {
        GuardedProcess process =
                startGuardian("exec env -i bash -c 'echo $$ > \"$1\"; exec sleep 100' x $1");
        process.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOutput();
        Path child = Path.of("/proc", Files.readString(out).strip(), "stat");
        suspend(process);
        process.extendUntil(clock.nanoTime() + 500 * MILLISECOND);
        // The stopped guardian does not reap the child, which remains as a zombie.
        while (Files.exists(child) && !Files.readString(child).contains(") Z ")) {
            assertNull(process.pollReport(clock.nanoTime()));
            Thread.sleep(5);
        }
        process.stop();
        assertTrue(awaitReport(process).startsWith("stopped "));
    }

    /** Guards against a task that blocks on a full pipe and misses the end of its lease. */
    @Test
    void stoppedGuardianDoesNotBlockTheTask() throws Exception {
        GuardedProcess process = startGuardian("echo 1 > $1; sleep 100");
        process.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOutput();
        suspend(process);
        assertTimeoutPreemptively(
                Duration.ofSeconds(30),
                () -> {
                    for (int i = 0; i < 5_000; i++) {
                        process.extendUntil(clock.nanoTime() + 90 * SECOND);
                    }
                });
    }
}
