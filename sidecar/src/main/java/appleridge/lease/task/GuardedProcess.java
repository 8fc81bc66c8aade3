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

/** A command under its guardian, seen from {@code task}. On one thread. */
final class GuardedProcess {
    private static final List<String> FLAGS =
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
    private long until = Long.MAX_VALUE;
    private boolean stopped;
    private String next;
    private CompletableFuture<Void> telling = CompletableFuture.completedFuture(null);

    /**
     * Starts a guardian, which waits for {@link #extendUntil}.
     *
     * @param nonce marks what the command starts; never used before
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
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(FLAGS);
        words.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "appleridge.daemon.Main",
                        "task-guard"));
        words.addAll(Guardian.words(nonce, lease, token, settings, report));
        words.addAll(command);
        this.guardian =
                new ProcessBuilder(words)
                        .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        this.tree = new ProcessTree(nonce, guardian.toHandle());
    }

    Process guardian() {
        return guardian;
    }

    /** It may begin now, or run on; all of it has ended by {@code until}. */
    void extendUntil(long mayRunUntil) {
        if (!stopped) {
            until = mayRunUntil;
            LeaseClock.Moment moment = clock.moment(mayRunUntil);
            next = Guardian.GO + " " + moment.nanos() + " " + moment.uptimeNanos();
            tell();
        }
    }

    /** It is to end now. */
    void stop() {
        if (!stopped) {
            stopped = true;
            until =
                    Math.min(
                            until,
                            clock.nanoTime()
                                    + settings.terminationNanos()
                                    + settings.killReserveNanos());
            next = Guardian.STOP;
            tell();
        }
    }

    /**
     * The newest alone. Danger: a stopped guardian reads nothing, and who writes to it would stand
     * still.
     */
    private void tell() {
        if (next != null && telling.isDone()) {
            String line = next;
            next = null;
            telling = CompletableFuture.runAsync(() -> write(line));
        }
    }

    private void write(String line) {
        try {
            OutputStream in = guardian.getOutputStream();
            in.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            in.flush();
        } catch (IOException e) {
            // It has ended, which is noticed.
        }
    }

    /**
     * Its last word once nothing of the command is left; null before. Empty where the guardian
     * could not say it. Danger: the guardian may be stopped or killed itself; then all that carries
     * the mark is ended here.
     */
    String pollReport(long now) throws IOException {
        try {
            return look(now);
        } catch (UncheckedIOException e) {
            // Danger: what can't be looked at for now is not gone.
            return null;
        }
    }

    private String look(long now) throws IOException {
        if (guardian.isAlive()) {
            tell();
            if (now > until - settings.killReserveNanos()) {
                tree.kill();
            }
            // Danger: one that is stopped never says its last word. What it guarded has had its
            // SIGKILL.
            if (stopped && now > until) {
                guardian.destroyForcibly();
            }
            return null;
        }
        if (tree.kill() > 0) {
            return null;
        }
        String word = Files.readString(report);
        Files.delete(report);
        // All of it was ended, as was asked; who ended the guardian before it could say so is all
        // the same.
        return word.isEmpty() && stopped ? Guardian.STOPPED : word;
    }
}
