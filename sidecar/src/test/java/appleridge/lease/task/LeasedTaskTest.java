package appleridge.lease.task;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.lease.LeaseParameters;
import appleridge.lease.store.LeaseClock;
import appleridge.lease.store.LeaseStore;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tasks with real guardians and commands, and a store in memory. */
@Timeout(60)
class LeasedTaskTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final TaskSettings SETTINGS =
            new TaskSettings(
                    null,
                    LeaseParameters.timed(
                            4000 * MILLISECOND,
                            0,
                            100 * MILLISECOND,
                            200 * MILLISECOND,
                            0,
                            700 * MILLISECOND),
                    200 * MILLISECOND,
                    500 * MILLISECOND);

    @TempDir private Path directory;
    private final InMemoryLeaseStore store = new InMemoryLeaseStore();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final AtomicInteger nonces = new AtomicInteger();
    private LeaseStore.Events lastEvents;

    /** A task on a thread of its own. */
    private final class Run extends FutureTask<Integer> {
        private final LeasedTask task;

        Run(LeasedTask task) {
            super(task::run);
            this.task = task;
            Thread thread = new Thread(this);
            thread.setDaemon(true);
            thread.start();
        }
    }

    @AfterEach
    void killProcesses() {
        ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly);
    }

    private Run task(String holder, String script) {
        return task(holder, script, LeaseClock.system(100 * MILLISECOND, log::add));
    }

    private Run task(String holder, String script, LeaseClock clock) {
        return new Run(
                new LeasedTask(
                        SETTINGS,
                        "nightly",
                        holder,
                        List.of("bash", "-c", script, holder, directory.resolve("out").toString()),
                        clock,
                        () ->
                                "t"
                                        + ProcessHandle.current().pid()
                                        + directory.getFileName()
                                        + nonces.incrementAndGet(),
                        (events, executor) -> {
                            lastEvents = events;
                            return store.connect(events, executor);
                        },
                        log::add));
    }

    /** Waits for a guardian and stops it at once. */
    private static ProcessHandle stoppedGuardian() throws Exception {
        ProcessHandle found = null;
        while (found == null) {
            found =
                    ProcessHandle.current()
                            .children()
                            .filter(
                                    each ->
                                            each.info()
                                                    .commandLine()
                                                    .orElse("")
                                                    .contains("task-guard"))
                            .findAny()
                            .orElse(null);
            Thread.sleep(1);
        }
        assertEquals(
                0,
                new ProcessBuilder("kill", "-STOP", Long.toString(found.pid())).start().waitFor());
        return found;
    }

    private void awaitOutput(String line) throws Exception {
        Path out = directory.resolve("out");
        while (!Files.exists(out) || !Files.readAllLines(out).contains(line)) {
            Thread.sleep(5);
        }
    }

    @Test
    void leaseIsReleasedWhenTheCommandExitsWithZero() throws Exception {
        Run first = task("a", "echo $0 $APPLERIDGE_TOKEN >> $1; sleep 0.5; exit 0");
        awaitOutput("a 1");
        Run second = task("b", "echo $0 $APPLERIDGE_TOKEN >> $1; exit 4");
        assertEquals(0, first.get());
        assertEquals(4, second.get());
        awaitOutput("b 2");
        assertEquals("b", store.record().holder());
        assertFalse(
                store.record().released(),
                "a command that fails must not be restarted elsewhere without a delay");
        assertTrue(log.contains("lease nightly: state=held why=none token=1"), log::toString);
        assertTrue(log.contains("lease nightly: command result: ended 0"), log::toString);
    }

    @Test
    void terminationStopsTheCommandAndReleasesTheLease() throws Exception {
        Run run =
                task(
                        "a",
                        "trap 'echo over >> $1; exit 0' TERM; echo on >> $1;"
                                + " while :; do sleep 0.01; done");
        awaitOutput("on");
        assertEquals(TaskExitStatus.TERMINATED, run.task.terminate());
        awaitOutput("over");
        assertTrue(store.record().released());
        Run waiting = task("b", "sleep 50");
        Run behind = task("c", "sleep 50");
        assertEquals(TaskExitStatus.TERMINATED, behind.task.terminate());
        assertEquals(TaskExitStatus.TERMINATED, waiting.task.terminate());
    }

    @Test
    void recreatedRecordEndsTheTask() throws Exception {
        Run run = task("a", "echo on >> $1; sleep 50");
        awaitOutput("on");
        lastEvents.onRecordRecreated("created again");
        assertEquals(TaskExitStatus.RECORD_RECREATED, run.get());
    }

    @Test
    void leaseIsReleasedWhenTheCommandCannotBeStarted() throws Exception {
        Run run =
                new Run(
                        new LeasedTask(
                                SETTINGS,
                                "nightly",
                                "a",
                                List.of("/no/such/command"),
                                LeaseClock.system(100 * MILLISECOND, log::add),
                                () -> "n" + nonces.incrementAndGet(),
                                store::connect,
                                log::add));
        assertEquals(TaskExitStatus.COMMAND_NOT_STARTED, run.get());
        assertTrue(store.record().released());
    }

    /** Guards against a shutdown that never ends, and a lease that is never released. */
    @Test
    void terminationSucceedsWhileTheGuardianIsStopped() throws Exception {
        Run run = task("a", "echo on >> $1; sleep 100");
        awaitOutput("on");
        stoppedGuardian();
        assertEquals(TaskExitStatus.TERMINATED, run.task.terminate());
        assertTrue(store.record().released());
    }

    /**
     * Guards against a SIGTERM to the whole process group that is reported as a guardian's failure.
     */
    @Test
    void guardianKilledDuringTerminationIsNoFailure() throws Exception {
        Run run = task("a", "sleep 100");
        ProcessHandle guardian = stoppedGuardian();
        FutureTask<Integer> terminated = new FutureTask<>(run.task::terminate);
        Thread thread = new Thread(terminated);
        thread.setDaemon(true);
        thread.start();
        while (thread.isAlive() && thread.getState() != Thread.State.WAITING) {
            Thread.sleep(1);
        }
        guardian.destroyForcibly();
        assertEquals(TaskExitStatus.TERMINATED, terminated.get());
        assertTrue(store.record().released());
    }

    /** Guards against a shutdown that waits forever for a task that has failed. */
    @Test
    void terminationOfAFailedTaskReturnsItsStatus() {
        Run run =
                new Run(
                        new LeasedTask(
                                SETTINGS,
                                "nightly",
                                "a",
                                List.of("true"),
                                LeaseClock.system(100 * MILLISECOND, log::add),
                                () -> {
                                    if (nonces.incrementAndGet() > 1) {
                                        throw new IllegalStateException("no nonce");
                                    }
                                    return "n";
                                },
                                store::connect,
                                log::add));
        assertThrows(ExecutionException.class, run::get);
        assertEquals(TaskExitStatus.FAILED, assertDoesNotThrow(run.task::terminate));
    }

    /** Guards against the use of a grant after a suspension that only the wall clock shows. */
    @Test
    void grantFromBeforeASuspensionIsNotUsed() throws Exception {
        LeaseClock clock =
                new LeaseClock(
                        System::nanoTime,
                        () -> LeaseClock.NO_CLOCK,
                        () ->
                                TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
                                        + (store.record() == null ? 0 : TimeUnit.HOURS.toMillis(1)),
                        100 * MILLISECOND,
                        log::add);
        assertEquals(0, task("a", "echo $APPLERIDGE_TOKEN >> $1; exit 0", clock).get());
        assertEquals("2\n", Files.readString(directory.resolve("out")));
    }
}
