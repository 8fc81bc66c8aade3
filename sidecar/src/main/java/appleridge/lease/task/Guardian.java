package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * {@code task-guard}: the process that runs a task's command. It reads deadlines from its standard
 * input, and ends the command and all its processes before the latest deadline, whatever has
 * happened to the task: a {@code task} process that is stopped or killed can't end anything, and
 * its command would continue beside the next holder's.
 *
 * <p>Started by {@link GuardedProcess}; see {@link GuardianArguments}, {@link GuardianInstruction}
 * and {@link GuardianReport} for the protocol between the two.
 */
public final class Guardian {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final GuardianArguments arguments;
    private final LeaseClock clock;
    private final ProcessTree tree;
    private final GuardedCommand command;
    private final LinkedBlockingQueue<String> input = new LinkedBlockingQueue<>();
    private final CountDownLatch finished = new CountDownLatch(1);

    /** The time by which all processes must have ended; null until it is known. */
    private LeaseClock.Moment deadline;

    private boolean mayStart;
    private boolean terminating;

    /** Whether the task's process has gone, so that nothing reads the report. */
    private boolean orphaned;

    private int exitStatus;

    private Guardian(GuardianArguments arguments) {
        this.arguments = arguments;
        clock = LeaseClock.system(arguments.maxClockJumpNanos(), Guardian::log);
        tree = new ProcessTree(arguments.nonce(), ProcessHandle.current());
        command = new GuardedCommand(clock, tree, Guardian::log);
    }

    /**
     * Runs one command until all its processes have ended.
     *
     * @param words the {@link GuardianArguments}
     * @return the exit status of the process
     */
    public static int run(List<String> words) {
        return new Guardian(GuardianArguments.parse(words)).run();
    }

    private int run() {
        Thread reader = new Thread(this::readInput, "reader");
        reader.setDaemon(true);
        reader.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "terminate"));
        warmUpProcessList();
        GuardianReport report = null;
        while (report == null) {
            try {
                readInstructions();
                report = step();
            } catch (InterruptedException | RuntimeException e) {
                // Only this thread can end the command, so it continues after any failure.
                if (!terminating) {
                    log("terminating the command after a failure: " + e);
                }
                terminating = true;
            }
        }
        write(report);
        finished.countDown();
        return exitStatus;
    }

    /**
     * Loads classes in advance: the first listing takes far longer than later ones, which may come
     * near a deadline.
     */
    private void warmUpProcessList() {
        try {
            tree.isEmpty();
        } catch (UncheckedIOException e) {
            // Nothing has been started yet; later listings report the failure.
        }
    }

    private void readInput() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                input.add(line);
            }
        } catch (IOException e) {
            // Treated like the end of the input.
        }
        input.add(GuardianInstruction.TASK_GONE);
    }

    /** On SIGTERM: returns only once no process of the command is left. */
    private void shutDown() {
        input.add(GuardianInstruction.STOP);
        try {
            finished.await();
            Runtime.getRuntime().halt(exitStatus);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readInstructions() throws InterruptedException {
        String line = input.poll(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        while (line != null) {
            apply(line);
            line = input.poll();
        }
    }

    private void apply(String line) {
        if (GuardianInstruction.requiresEnd(line)) {
            terminating = true;
            orphaned |= GuardianInstruction.isTaskGone(line);
            return;
        }
        deadline = GuardianInstruction.deadline(line);
        mayStart |= GuardianInstruction.allowsStart(line);
    }

    /** Does what is due now; returns null until all processes have ended. */
    private GuardianReport step() {
        terminating |= clock.mayHaveSuspended();
        long leftNanos = deadline == null ? Long.MAX_VALUE : clock.nanosUntil(deadline);
        if (!command.isStarted()) {
            return stepBeforeStart(leftNanos);
        }
        if (!command.isAlive() && !command.isTerminated()) {
            return command.kill() ? GuardianReport.ended(saveExitStatus()) : null;
        }
        // Termination continues even if the deadline is extended: SIGTERM was sent already.
        terminating |= leftNanos <= arguments.terminationNanos();
        return terminating ? terminate(leftNanos) : null;
    }

    private GuardianReport stepBeforeStart(long leftNanos) {
        if (leftNanos <= 0 || terminating) {
            return GuardianReport.NOT_STARTED;
        }
        boolean starts = mayStart && leftNanos > arguments.terminationNanos();
        return starts && !command.start(arguments) ? GuardianReport.COMMAND_NOT_FOUND : null;
    }

    /** Sends SIGTERM first, and SIGKILL once the time to react to it has passed. */
    private GuardianReport terminate(long leftNanos) {
        long nowNanos = clock.nanoTime();
        command.terminate(nowNanos);
        boolean kills =
                command.nanosSinceTerminated(nowNanos) >= arguments.killAfterNanos()
                        || leftNanos <= arguments.killReserveNanos();
        boolean gone = kills ? command.kill() : command.isGone();
        return gone ? GuardianReport.stopped(saveExitStatus()) : null;
    }

    private int saveExitStatus() {
        exitStatus = command.exitStatus();
        return exitStatus;
    }

    private void write(GuardianReport report) {
        try {
            if (orphaned) {
                Files.deleteIfExists(arguments.report());
            } else {
                Files.writeString(arguments.report(), report.text());
            }
        } catch (IOException e) {
            log("can't write " + arguments.report() + ": " + e.getMessage());
        }
    }

    private static void log(String line) {
        System.err.println("appleridge task-guard: " + line);
    }
}
