package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * {@code task-guard}: the process that a task's command runs under. It is told on its standard
 * input until when the command may run, and has ended all of it by then whatever has become of who
 * tells it. Danger: a {@code task} that is stopped or killed can end nothing, and its command would
 * go on beside the next one.
 */
public final class Guardian {
    /**
     * Its last word, in the file that it is given, with the command's status: it ended by itself.
     */
    static final String ENDED = "ended ";

    /** All of it was ended. */
    static final String STOPPED = "stopped ";

    /** It was not begun; without a status. */
    static final String NEVER = "never";

    /** It can't be started; without a status. */
    static final String NO_COMMAND = "no-command";

    /** What it is told: begin, or run on, until a moment. */
    static final String GO = "go";

    /** End it now. */
    static final String STOP = "stop";

    private static final String GONE = "gone";

    private static final int WORDS = 7;
    private static final long LOOK_MILLIS = 20;
    private static final long SAY_AGAIN = TimeUnit.SECONDS.toNanos(10);

    private final ProcessTree tree;
    private final String lease;
    private final String token;
    private final long killAfter;
    private final long toKill;
    private final LeaseClock clock;
    private final Path report;
    private final List<String> command;
    private final String nonce;
    private final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final CountDownLatch over = new CountDownLatch(1);

    private LeaseClock.Moment until;
    private boolean go;
    private boolean ending;

    /** Nobody tells it anything any more. */
    private boolean orphan;

    private Process child;
    private boolean termed;
    private long termedAt;
    private long cleaning;
    private int status;

    private Guardian(List<String> words) {
        nonce = words.get(0);
        lease = words.get(1);
        token = words.get(2);
        killAfter = Long.parseLong(words.get(3));
        toKill = Long.parseLong(words.get(4));
        clock = LeaseClock.system(Long.parseLong(words.get(5)), Guardian::say);
        report = Path.of(words.get(6));
        command = words.subList(WORDS, words.size());
        tree = new ProcessTree(nonce, ProcessHandle.current());
    }

    /** What it is started with. */
    static List<String> words(
            String nonce, String lease, long token, TaskSettings settings, Path report) {
        return List.of(
                nonce,
                lease,
                Long.toString(token),
                Long.toString(settings.killAfterNanos()),
                Long.toString(settings.killReserveNanos()),
                Long.toString(settings.parameters().clockGuardNanos()),
                report.toString());
    }

    /** Runs what the words say; the exit status. */
    public static int run(List<String> words) {
        return new Guardian(words).run();
    }

    private int run() {
        Thread reader = new Thread(this::read, "reader");
        reader.setDaemon(true);
        reader.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown, "end"));
        // Danger: the first look takes many times as long as those that follow, when time may be
        // short.
        try {
            tree.isEmpty();
        } catch (UncheckedIOException e) {
            // Nothing was begun yet; it is looked at again.
        }
        String last = null;
        while (last == null) {
            try {
                String line = told.poll(LOOK_MILLIS, TimeUnit.MILLISECONDS);
                while (line != null) {
                    take(line);
                    line = told.poll();
                }
                last = step();
            } catch (InterruptedException | RuntimeException e) {
                // Danger: without this thread nothing would end the command any more.
                if (!ending) {
                    say("ends the command: " + e);
                }
                ending = true;
            }
        }
        report(last);
        over.countDown();
        return status;
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                told.add(line);
            }
        } catch (IOException e) {
            // As at its end.
        }
        told.add(GONE);
    }

    /** On SIGTERM: nothing that the command has started is left. */
    private void shutDown() {
        told.add(STOP);
        try {
            over.await();
            Runtime.getRuntime().halt(status);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void take(String line) {
        String[] words = line.split(" ");
        if (words[0].equals(STOP) || words[0].equals(GONE)) {
            ending = true;
            orphan |= words[0].equals(GONE);
            return;
        }
        until = new LeaseClock.Moment(Long.parseLong(words[1]), Long.parseLong(words[2]));
        go |= words[0].equals(GO);
    }

    /** One look; the last word, or null if it goes on. */
    private String step() {
        ending |= clock.mayHaveSuspended();
        long left = until == null ? Long.MAX_VALUE : clock.nanosUntil(until);
        if (child == null) {
            return left <= 0 || ending ? NEVER : go && left > killAfter + toKill ? begin() : null;
        }
        if (!child.isAlive() && !termed) {
            return clean() ? ENDED + status() : null;
        }
        // Danger: what was told to end is no command any more, whatever is told of its time
        // afterwards.
        ending |= left <= killAfter + toKill;
        return ending ? end(left) : null;
    }

    private String begin() {
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
                        .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                        .redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put("APPLERIDGE_LEASE", lease);
        builder.environment().put("APPLERIDGE_TOKEN", token);
        builder.environment().put(ProcessTree.VARIABLE, nonce);
        try {
            child = builder.start();
            return null;
        } catch (IOException e) {
            say("can't start " + command.get(0) + ": " + e.getMessage());
            return NO_COMMAND;
        }
    }

    /** Tells it to end, and later ends it. */
    private String end(long left) {
        long now = clock.nanoTime();
        if (!termed) {
            termed = true;
            termedAt = now;
            tree.terminate();
        }
        boolean gone =
                now - termedAt >= killAfter || left <= toKill
                        ? clean()
                        : !child.isAlive() && tree.isEmpty();
        return gone ? STOPPED + status() : null;
    }

    /** Whether nothing is left, after all that was there was killed. */
    private boolean clean() {
        if (tree.kill() == 0) {
            return !child.isAlive();
        }
        if (cleaning == 0) {
            cleaning = clock.nanoTime();
        } else if (clock.nanoTime() - cleaning > SAY_AGAIN) {
            cleaning = clock.nanoTime();
            say("what the command has started can't be ended");
        }
        return false;
    }

    private int status() {
        status = child.exitValue();
        return status;
    }

    private void report(String last) {
        try {
            if (orphan) {
                Files.deleteIfExists(report);
            } else {
                Files.writeString(report, last);
            }
        } catch (IOException e) {
            say("can't write " + report + ": " + e.getMessage());
        }
    }

    private static void say(String line) {
        System.err.println("appleridge task-guard: " + line);
    }
}
