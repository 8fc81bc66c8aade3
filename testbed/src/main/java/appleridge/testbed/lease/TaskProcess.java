package appleridge.testbed.lease;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A {@code task} process of the packaged jar; it may be started repeatedly. */
final class TaskProcess {
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-Xmx40m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData",
                    "-Djava.util.logging.SimpleFormatter.format=%1$tT.%1$tL %5$s%n");
    private static final int EXIT_TIMEOUT_SECONDS = 20;

    private final Path jar;
    private final Path operator;
    private final String lease;
    private final List<String> command;
    private final Path log;
    private Process process;

    TaskProcess(Path jar, Path operator, String lease, List<String> command, Path log) {
        this.jar = jar;
        this.operator = operator;
        this.lease = lease;
        this.command = command;
        this.log = log;
    }

    void start() throws IOException {
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(JVM_FLAGS);
        words.addAll(
                List.of(
                        "-jar",
                        jar.toString(),
                        "task",
                        "--operator",
                        operator.toString(),
                        "--lease",
                        lease,
                        "--"));
        words.addAll(command);
        process =
                new ProcessBuilder(words)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    boolean alive() {
        return process.isAlive();
    }

    /** The guardian process of the task, if it has one. */
    Optional<ProcessHandle> guardian() {
        return process.children().findFirst();
    }

    /** Sends SIGTERM. */
    void term() {
        process.destroy();
    }

    /** Sends SIGKILL, if it was ever started. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        signal(process.pid(), name);
    }

    static void signal(long pid, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }

    /** Waits for the exit and returns its status; kills it after a timeout and returns -1. */
    int awaitExit() throws InterruptedException {
        if (process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            return process.exitValue();
        }
        process.destroyForcibly().waitFor();
        return -1;
    }

    List<String> log() throws IOException {
        return Files.exists(log) ? Files.readAllLines(log) : List.of();
    }
}
