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

/** A real guardian with real commands. */
@Timeout(60)
class GuardianTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @TempDir private Path folder;
    private final LeaseClock clock = LeaseClock.system(SECOND, line -> {});
    private final TaskSettings settings =
            new TaskSettings(
                    null,
                    LeaseParameters.timed(10 * SECOND, 0, SECOND, SECOND, 0, 0),
                    300 * MILLI,
                    200 * MILLI);
    private final List<GuardedProcess> begun = new ArrayList<>();
    private Path out;
    private String nonce;

    @BeforeEach
    void begin() {
        out = folder.resolve("out");
        nonce = "g" + ProcessHandle.current().pid() + "-" + folder.getFileName();
    }

    @AfterEach
    void end() {
        for (GuardedProcess each : begun) {
            new ProcessTree(nonce, each.guardian().toHandle()).kill();
            each.guardian().destroyForcibly();
        }
    }

    private GuardedProcess guarded(String script) throws Exception {
        return guarded(List.of("bash", "-c", script, "x", out.toString()));
    }

    private GuardedProcess guarded(List<String> command) throws Exception {
        GuardedProcess guarded = new GuardedProcess(clock, settings, nonce, "nightly", 12, command);
        begun.add(guarded);
        return guarded;
    }

    private static void stop(GuardedProcess guarded) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-STOP", Long.toString(guarded.guardian().pid()))
                        .start()
                        .waitFor());
    }

    private String last(GuardedProcess guarded) throws Exception {
        GuardianReport last = guarded.pollReport(clock.nanoTime());
        while (last == null) {
            Thread.sleep(5);
            last = guarded.pollReport(clock.nanoTime());
        }
        assertTrue(
                new ProcessTree(nonce, guarded.guardian().toHandle()).isEmpty(),
                "something is left");
        return last.text();
    }

    private void awaitOut() throws Exception {
        while (!Files.exists(out) || Files.size(out) == 0) {
            Thread.sleep(5);
        }
    }

    @Test
    void commandGetsItsTokenAndItsExitStatusIsReported() throws Exception {
        GuardedProcess guarded = guarded("echo $APPLERIDGE_LEASE $APPLERIDGE_TOKEN > $1; exit 3");
        assertNull(guarded.pollReport(clock.nanoTime()));
        guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertEquals("ended 3", last(guarded));
        assertEquals("nightly 12\n", Files.readString(out));
    }

    @Test
    void processesLeftByTheCommandAreKilled() throws Exception {
        GuardedProcess guarded = guarded("setsid --fork sleep 50; sleep 51 & trap '' TERM; exit 0");
        guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertEquals("ended 0", last(guarded));
    }

    /**
     * Guards against a command that outlives what it was told, with a session of its own or
     * without.
     */
    @Test
    void processesIgnoringSigtermAreKilledBeforeTheDeadline() throws Exception {
        String writes = "while :; do echo 1 >> $1; sleep 0.02; done";
        for (String script :
                List.of(
                        "trap '' TERM; " + writes,
                        "setsid --fork bash -c \"trap '' TERM; "
                                + writes.replace("$1", out.toString())
                                + "\"; sleep 50",
                        writes)) {
            Files.deleteIfExists(out);
            GuardedProcess guarded = guarded(script);
            guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
            awaitOut();
            long byWall = System.currentTimeMillis() + 900;
            guarded.extendUntil(clock.nanoTime() + 900 * MILLI);
            assertTrue(last(guarded).startsWith("stopped "), script);
            long late = Files.getLastModifiedTime(out).toMillis() - byWall;
            assertTrue(late < 0, script + " went on for " + late + " ms too long");
        }
    }

    @Test
    void commandGetsSigtermFirst() throws Exception {
        GuardedProcess guarded =
                guarded(
                        "trap 'echo term > $1; exit 5' TERM; echo 1 > $1; while :; do sleep 0.01;"
                                + " done");
        guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
        awaitOut();
        guarded.stop();
        assertEquals("stopped 5", last(guarded));
        assertEquals("term\n", Files.readString(out));
    }

    /** Guards against a guardian that waits for good beside a command that it has ended. */
    @Test
    void terminationGoesOnWhenTheDeadlineIsExtended() throws Exception {
        GuardedProcess guarded =
                guarded(
                        "trap 'echo term > $1; while :; do sleep 0.01; done' TERM; echo 1 > $1;"
                                + " while :; do sleep 0.01; done");
        guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
        awaitOut();
        guarded.extendUntil(clock.nanoTime() + 400 * MILLI);
        while (!Files.readString(out).equals("term\n")) {
            Thread.sleep(1);
        }
        guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertTrue(last(guarded).startsWith("stopped "));
    }

    @Test
    void commandIsNotStartedWhenTheDeadlineIsTooClose() throws Exception {
        GuardedProcess guarded = guarded("echo 1 > $1");
        guarded.extendUntil(clock.nanoTime() + 400 * MILLI);
        assertEquals("never", last(guarded));
        assertTrue(Files.notExists(out));
        GuardedProcess stopped = guarded("echo 1 > $1");
        stopped.stop();
        assertEquals("never", last(stopped));
        assertTrue(Files.notExists(out));
    }

    @Test
    void missingCommandIsReported() throws Exception {
        GuardedProcess guarded = guarded(List.of("/no/such/command"));
        guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
        assertEquals("no-command", last(guarded));
    }

    /** Guards against a guardian that is gone while its command goes on. */
    @Test
    void commandOfAKilledGuardianIsKilledByTheTask() throws Exception {
        GuardedProcess guarded = guarded("echo 1 > $1; sleep 50");
        guarded.extendUntil(clock.nanoTime() + 20 * SECOND);
        awaitOut();
        guarded.guardian().destroyForcibly().waitFor();
        assertEquals("", last(guarded));
    }

    /** Guards against a guardian that has lost its one thread, and ends nothing any more. */
    @Test
    void malformedInstructionEndsTheCommand() throws Exception {
        GuardedProcess guarded = guarded("echo 1 > $1; sleep 100");
        guarded.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOut();
        OutputStream in = guarded.guardian().getOutputStream();
        in.write("go 12\n".getBytes(StandardCharsets.US_ASCII));
        in.flush();
        assertTrue(last(guarded).startsWith("stopped "));
    }

    /** Guards against who waits for good for the last word of a guardian that is stopped. */
    @Test
    void stoppedGuardianIsKilledAfterTheDeadline() throws Exception {
        GuardedProcess guarded = guarded("echo 1 > $1; sleep 100");
        guarded.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOut();
        stop(guarded);
        guarded.extendUntil(clock.nanoTime() + SECOND);
        guarded.stop();
        guarded.extendUntil(clock.nanoTime() + 90 * SECOND);
        assertTrue(last(guarded).startsWith("stopped "));
    }

    /** Guards against a command without its mark that goes on while its guardian stands still. */
    @Test
    void unmarkedChildOfAStoppedGuardianIsKilled() throws Exception {
        GuardedProcess guarded =
                guarded("exec env -i bash -c 'echo $$ > \"$1\"; exec sleep 100' x $1");
        guarded.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOut();
        Path child = Path.of("/proc", Files.readString(out).strip(), "stat");
        stop(guarded);
        guarded.extendUntil(clock.nanoTime() + 500 * MILLI);
        // Its guardian, which stands still, does not ask for its status.
        while (Files.exists(child) && !Files.readString(child).contains(") Z ")) {
            assertNull(guarded.pollReport(clock.nanoTime()));
            Thread.sleep(5);
        }
        guarded.stop();
        assertTrue(last(guarded).startsWith("stopped "));
    }

    /** Guards against a pipe that is full: who writes to it would see no lease end. */
    @Test
    void stoppedGuardianDoesNotBlockTheTask() throws Exception {
        GuardedProcess guarded = guarded("echo 1 > $1; sleep 100");
        guarded.extendUntil(clock.nanoTime() + 90 * SECOND);
        awaitOut();
        stop(guarded);
        assertTimeoutPreemptively(
                Duration.ofSeconds(30),
                () -> {
                    for (int i = 0; i < 5_000; i++) {
                        guarded.extendUntil(clock.nanoTime() + 90 * SECOND);
                    }
                });
    }
}
