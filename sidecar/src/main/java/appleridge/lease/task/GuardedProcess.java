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

/** A command under its {@link Guardian}, seen from {@code task}. Confined to the task's thread. */
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

    /** When all processes must have ended. */
    private long deadlineNanos = Long.MAX_VALUE;

    private boolean stopped;

    /** Not sent yet; null for none. */
    private String nextInstruction;

    private CompletableFuture<Void> sending = CompletableFuture.completedFuture(null);

    /**
     * Starts a guardian, which waits for {@link #extendUntil} before it starts the command.
     *
     * @param nonce marks all processes that the command starts; never used before
     * @param token the fencing token that the command gets
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
     * The command may start now, or run on; all of it has ended by then. Without effect after
     * {@link #stop}.
     */
    void extendUntil(long newDeadlineNanos) {
        if (!stopped) {
            deadlineNanos = newDeadlineNanos;
            send(GuardianInstruction.runUntil(clock.moment(newDeadlineNanos)));
        }
    }

    /** The command is to end now. */
    void stop() {
        if (!stopped) {
            stopped = true;
            long reserveNanos = settings.terminationNanos() + settings.killReserveNanos();
            deadlineNanos = Math.min(deadlineNanos, clock.nanoTime() + reserveNanos);
            send(GuardianInstruction.STOP);
        }
    }

    private void send(String instruction) {
        nextInstruction = instruction;
        sendNext();
    }

    /**
     * Sends the newest instruction alone, from another thread and one at a time: a stopped guardian
     * reads nothing, and a full pipe would block this thread past the lease's end.
     */
    private void sendNext() {
        if (nextInstruction != null && sending.isDone()) {
            String line = nextInstruction;
            nextInstruction = null;
            sending = CompletableFuture.runAsync(() -> write(line));
        }
    }

    private void write(String line) {
        try {
            OutputStream in = guardian.getOutputStream();
            in.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            in.flush();
        } catch (IOException e) {
            // The guardian has ended, which the next poll sees.
        }
    }

    /**
     * Looks after the command; to be called often. A guardian may itself be stopped or killed, so
     * near the deadline all processes with the mark are killed from here.
     *
     * @return null until nothing of the command is left
     * @throws IOException if the guardian's report can't be read
     */
    GuardianReport pollReport(long nowNanos) throws IOException {
        try {
            return guardian.isAlive() ? pollAlive(nowNanos) : pollEnded();
        } catch (UncheckedIOException e) {
            // A process list that can't be read now proves nothing; the next poll tries again.
            return null;
        }
    }

    private GuardianReport pollAlive(long nowNanos) {
        sendNext();
        if (nowNanos > deadlineNanos - settings.killReserveNanos()) {
            tree.kill();
        }
        // A guardian that is itself stopped never reports; what it guarded has had its SIGKILL.
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
        // All was ended as was asked, even if the guardian was killed before it could report.
        return read.isMissing() && stopped ? GuardianReport.STOPPED : read;
    }
}
