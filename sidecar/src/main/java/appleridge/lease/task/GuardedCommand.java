package appleridge.lease.task;

import appleridge.lease.store.LeaseClock;
import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A command and all processes that it has started. Confined to the guardian's main thread. */
final class GuardedCommand {
    private static final long SURVIVORS_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final LeaseClock clock;
    private final ProcessTree tree;
    private final Consumer<String> log;
    private Process process;

    /** Null until SIGTERM was sent. */
    private Long terminatedAtNanos;

    /** Null until a process survived SIGKILL; then the time of that or of the last log line. */
    private Long survivorsSinceNanos;

    GuardedCommand(LeaseClock clock, ProcessTree tree, Consumer<String> log) {
        this.clock = clock;
        this.tree = tree;
        this.log = log;
    }

    boolean isStarted() {
        return process != null;
    }

    boolean isTerminated() {
        return terminatedAtNanos != null;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The exit status of a command that has ended. */
    int exitStatus() {
        return process.exitValue();
    }

    /** Starts it with lease, token and mark in its environment; false if it can't be started. */
    boolean start(GuardianArguments arguments) {
        List<String> command = arguments.command();
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")))
                        .redirectOutput(ProcessBuilder.Redirect.INHERIT)
                        .redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put("APPLERIDGE_LEASE", arguments.lease());
        builder.environment().put("APPLERIDGE_TOKEN", Long.toString(arguments.token()));
        builder.environment().put(ProcessTree.MARK_VARIABLE, arguments.nonce());
        try {
            process = builder.start();
            return true;
        } catch (IOException e) {
            log.accept("can't start " + command.get(0) + ": " + e.getMessage());
            return false;
        }
    }

    /** Sends SIGTERM to all processes, once. */
    void terminate(long nowNanos) {
        if (terminatedAtNanos == null) {
            terminatedAtNanos = nowNanos;
            tree.terminate();
        }
    }

    /** The time since SIGTERM was sent. */
    long nanosSinceTerminated(long nowNanos) {
        return nowNanos - terminatedAtNanos;
    }

    /** Whether all processes have ended by themselves. */
    boolean isGone() {
        return !process.isAlive() && tree.isEmpty();
    }

    /** Sends SIGKILL to all remaining processes; returns whether there were none. */
    boolean kill() {
        if (tree.kill() == 0) {
            return !process.isAlive();
        }
        long nowNanos = clock.nanoTime();
        if (survivorsSinceNanos == null) {
            survivorsSinceNanos = nowNanos;
        } else if (nowNanos - survivorsSinceNanos > SURVIVORS_LOG_INTERVAL_NANOS) {
            survivorsSinceNanos = nowNanos;
            log.accept("processes of the command have survived SIGKILL");
        }
        return false;
    }
}
