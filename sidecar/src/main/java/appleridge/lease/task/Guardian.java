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
 * {@code task-guard}: the process that runs a task's command. It gets deadlines on its standard
 * input, and ends the command and all its processes before the last deadline whatever has become of
 * the task: a {@code task} that is stopped or killed could end nothing, and its command would go on
 * beside the next holder's.
 *
 * <p>Started by {@link GuardedProcess}; see {@link GuardianArguments}, {@link GuardianInstruction}
 * and {@link GuardianReport} for what passes between the two.
 */
public final class Guardian {
    private static final long STEP_MILLIS = 20;

    private final GuardianArguments arguments;
    private final LeaseClock clock;
    private final ProcessTree tree;
    private final GuardedCommand command;
    private final LinkedBlockingQueue<String> input = new LinkedBlockingQueue<>();
    private final CountDownLatch over = new CountDownLatch(1);

    /** When all processes must have ended; null until it is known. */
    private LeaseClock.Moment deadline;

    private boolean mayStart;
    private boolean ending;

    /** The task is gone: nobody reads a report. */
    private boolean orphaned;

    private int exitStatus;

    private Guardian(GuardianArguments arguments) {
        this.arguments = arguments;
        clock = LeaseClock.system(arguments.maxClockJumpNanos(), Guardian::log);
        tree = new ProcessTree(arguments.nonce(), ProcessHandle.current());
        command = new GuardedCommand(clock, tree, Guardian::log);
    }

    /**
     * Guards one command until all its processes have ended.
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
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "end"));
        listProcessesOnce();
        GuardianReport report = null;
        while (report == null) {
            try {
                takeInput();
                report = step();
            } catch (InterruptedException | RuntimeException e) {
                // Without this thread nothing would end the command any more, so it goes on.
                if (!ending) {
                    log("ends the command: " + e);
                }
                ending = true;
            }
        }
        write(report);
        over.countDown();
        return exitStatus;
    }

    /** The first listing loads classes and takes far longer than later ones near a deadline. */
    private void listProcessesOnce() {
        try {
            tree.isEmpty();
        } catch (UncheckedIOException e) {
            // Nothing was started yet; later listings report a failure.
        }
    }

    private void readInput() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                input.add(line);
            }
        } catch (IOException e) {
            // The same as the end of the input.
        }
        input.add(GuardianInstruction.TASK_GONE);
    }

    /** On SIGTERM: returns only once no process of the command is left. */
    private void shutDown() {
        input.add(GuardianInstruction.STOP);
        try {
            over.await();
            Runtime.getRuntime().halt(exitStatus);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void takeInput() throws InterruptedException {
        String line = input.poll(STEP_MILLIS, TimeUnit.MILLISECONDS);
        while (line != null) {
            take(line);
            line = input.poll();
        }
    }

    private void take(String line) {
        if (GuardianInstruction.isEnd(line)) {
            ending = true;
            orphaned |= GuardianInstruction.isTaskGone(line);
            return;
        }
        deadline = GuardianInstruction.deadline(line);
        mayStart |= GuardianInstruction.isRun(line);
    }

    /** Does what is due now; null until all is over. */
    private GuardianReport step() {
        ending |= clock.mayHaveSuspended();
        long leftNanos = deadline == null ? Long.MAX_VALUE : clock.nanosUntil(deadline);
        if (!command.isStarted()) {
            return stepBeforeStart(leftNanos);
        }
        if (!command.isAlive() && !command.isTerminated()) {
            return command.kill() ? GuardianReport.ended(takeExitStatus()) : null;
        }
        // Once begun, an ending goes on even if the deadline moves: SIGTERM was sent already.
        ending |= leftNanos <= arguments.terminationNanos();
        return ending ? end(leftNanos) : null;
    }

    private GuardianReport stepBeforeStart(long leftNanos) {
        if (leftNanos <= 0 || ending) {
            return GuardianReport.NOT_STARTED;
        }
        boolean starts = mayStart && leftNanos > arguments.terminationNanos();
        return starts && !command.start(arguments) ? GuardianReport.COMMAND_NOT_FOUND : null;
    }

    /** SIGTERM first, SIGKILL when the time for that is over. */
    private GuardianReport end(long leftNanos) {
        long nowNanos = clock.nanoTime();
        command.terminate(nowNanos);
        boolean kills =
                command.nanosSinceTerminated(nowNanos) >= arguments.killAfterNanos()
                        || leftNanos <= arguments.killReserveNanos();
        boolean gone = kills ? command.kill() : command.isGone();
        return gone ? GuardianReport.stopped(takeExitStatus()) : null;
    }

    private int takeExitStatus() {
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
