package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The {@code task} process's handle on a command under a {@link Guardian}. Confined to the task's
 * thread.
 */
final class GuardedProcess {
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-Xmx24m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData",
                    "-XX:+ExitOnOutOfMemoryError");

    private final LeaseClock clock;
    private final TaskSettings settings;
    private final ProcessTree tree;
    private final Path report;
    private final Process guardian;

    /** The time by which all processes must have ended. */
    private long deadlineNanos = Long.MAX_VALUE;

    private boolean stopped;

    /** The instruction that is not sent yet; null for none. */
    private String pendingInstruction;

    private CompletableFuture<Void> sending = CompletableFuture.completedFuture(null);

    /**
     * Starts a guardian, which waits for {@link #extendUntil} before it starts the command.
     *
     * @param nonce marks all processes that the command starts; never used before
     * @param token the fencing token that is passed to the command
     * @throws IOException if the guardian can't be started
     */
    GuardedProcess(
            LeaseClock clock,
            TaskSettings settings,
            String nonce,
            String lease,
            long token,
            List<String> command)
            throws IOException {
        this.clock = clock;
        this.settings = settings;
        this.report = Files.createTempFile("appleridge-task", "");
        GuardianArguments arguments =
                new GuardianArguments(
                        nonce,
                        lease,
                        token,
                        settings.killAfterNanos(),
                        settings.killReserveNanos(),
                        settings.parameters().clockGuardNanos(),
                        report,
                        command);
        this.guardian =
                new ProcessBuilder(commandLine(arguments))
                        .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        this.tree = new ProcessTree(nonce, guardian.toHandle());
    }

    private static List<String> commandLine(GuardianArguments arguments) {
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(JVM_FLAGS);
        words.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "appleridge.daemon.Main",
                        "task-guard"));
        words.addAll(arguments.words());
        return words;
    }

    Process guardian() {
        return guardian;
    }

    /**
     * Lets the command start, or continue; all its processes will have ended by the new deadline.
     * No effect after {@link #stop}.
     */
    void extendUntil(long newDeadlineNanos) {
        if (!stopped) {
            deadlineNanos = newDeadlineNanos;
            send(GuardianInstruction.runUntil(clock.moment(newDeadlineNanos)));
        }
    }

    /** Has the guardian end the command now. */
    void stop() {
        if (!stopped) {
            stopped = true;
            long reserveNanos = settings.terminationNanos() + settings.killReserveNanos();
            deadlineNanos = Math.min(deadlineNanos, clock.nanoTime() + reserveNanos);
            send(GuardianInstruction.STOP);
        }
    }

    private void send(String instruction) {
        pendingInstruction = instruction;
        sendPending();
    }

    /**
     * Sends only the newest instruction, on another thread and one at a time: a stopped guardian
     * reads nothing, and writing to a full pipe would block this thread beyond the end of the
     * lease.
     */
    private void sendPending() {
        if (pendingInstruction != null && sending.isDone()) {
            String line = pendingInstruction;
            pendingInstruction = null;
            sending = CompletableFuture.runAsync(() -> write(line));
        }
    }

    private void write(String line) {
        try {
            OutputStream in = guardian.getOutputStream();
            in.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            in.flush();
        } catch (IOException e) {
            // The guardian has ended; the next poll detects it.
        }
    }

    /**
     * Monitors the command; has to be called often. The guardian itself may be stopped or killed,
     * so near the deadline this method kills all processes of the command.
     *
     * @return null until no process of the command is left
     * @throws IOException if the guardian's report can't be read
     */
    GuardianReport pollReport(long nowNanos) throws IOException {
        try {
            return guardian.isAlive() ? pollAlive(nowNanos) : pollEnded();
        } catch (UncheckedIOException e) {
            // Without a process list it is unknown what is left; the next poll tries again.
            return null;
        }
    }

    private GuardianReport pollAlive(long nowNanos) {
        sendPending();
        if (nowNanos > deadlineNanos - settings.killReserveNanos()) {
            tree.kill();
        }
        // A stopped guardian never reports; the command's processes have been sent SIGKILL above.
        if (stopped && nowNanos > deadlineNanos) {
            guardian.destroyForcibly();
        }
        return null;
    }

    private GuardianReport pollEnded() throws IOException {
        if (tree.kill() > 0) {
            return null;
        }
        GuardianReport read = new GuardianReport(Files.readString(report));
        Files.delete(report);
        // All processes have ended as requested, even if the guardian was killed before it could
        // report.
        return read.isMissing() && stopped ? GuardianReport.STOPPED : read;
    }
}
