package appleridge.testbed.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.stream.Stream;

/**
 * The sidecar as a child process with its own temporary folder. {@link #close} kills the process
 * and deletes the folder.
 */
public final class SidecarProcess implements AutoCloseable {
    /** The flags of production, except for the class data archive, which only its build makes. */
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-Xms48m",
                    "-Xmx48m",
                    "-XX:MaxDirectMemorySize=24m",
                    "-XX:MaxMetaspaceSize=48m",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss256k",
                    "-XX:-UsePerfData",
                    "-Dio.netty.jfr.enabled=false",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Djava.util.logging.SimpleFormatter.format=%1$tT %4$s %5$s%6$s%n");

    private static final int MAX_STARTS = 3;
    private static final int READY_SECONDS = 60;
    private static final int POLL_MILLIS = 50;
    private static final int READY_REQUEST_MILLIS = 1000;

    /** The sidecar exits by itself within a few seconds of SIGTERM. */
    private static final int EXIT_TIMEOUT_SECONDS = 20;

    private static final int LAST_LINES = 20;

    private final Path jar;
    private final String operator;
    private final Path folder;
    private final Thread atExit = new Thread(this::clean, "sidecar's end");
    private Process process;
    private int port;
    private boolean closing;

    /** Creates a sidecar without an operator's file. */
    SidecarProcess(Path jar) throws IOException {
        this(jar, "");
    }

    /** Creates a sidecar with this text of the operator's file; empty for no file. */
    public SidecarProcess(Path jar, String operator) throws IOException {
        this.jar = jar;
        this.operator = operator;
        this.folder = Files.createTempDirectory("appleridge-demo");
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /**
     * Starts the sidecar on a free port with the configuration for that port, and waits until it is
     * ready.
     *
     * @throws IOException if it is not ready after several starts
     */
    public void start(IntFunction<JsonNode> configuration)
            throws IOException, InterruptedException {
        for (int i = 0; i < MAX_STARTS; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            write(configuration.apply(port));
            launch();
            // Another process may have taken the port; then the sidecar exits, and the next start
            // uses another port.
            if (awaitReady()) {
                return;
            }
        }
        throw new IOException("the sidecar did not become ready in " + MAX_STARTS + " starts");
    }

    private synchronized void launch() throws IOException {
        if (closing) {
            throw new IOException("the sidecar is being closed");
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.add("-Djava.io.tmpdir=" + folder);
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (!operator.isEmpty()) {
            Path file = folder.resolve("operator.toml");
            Files.writeString(file, operator);
            command.addAll(List.of("--operator", file.toString()));
        }
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
        builder.environment().put("BALANCER_CONFIG", configFile().toString());
        process = builder.start();
    }

    private boolean awaitReady() throws IOException, InterruptedException {
        for (int waited = 0; waited < READY_SECONDS * 1000; waited += POLL_MILLIS) {
            if (process.waitFor(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                return false;
            }
            if (ready()) {
                return true;
            }
        }
        process.destroyForcibly().waitFor();
        return false;
    }

    private boolean ready() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + port + "/health/ready")
                                    .toURL()
                                    .openConnection();
            connection.setConnectTimeout(READY_REQUEST_MILLIS);
            connection.setReadTimeout(READY_REQUEST_MILLIS);
            connection.setRequestProperty("Connection", "close");
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The port at which it serves on the loopback address. */
    public int port() {
        return port;
    }

    /** The process id of the last start. */
    public long pid() {
        return process.pid();
    }

    /** Suspends the process with SIGSTOP, or resumes it with SIGCONT. */
    public void standStill(boolean still) throws IOException, InterruptedException {
        new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Whether the process is running. */
    public boolean alive() {
        return process.isAlive();
    }

    /** Replaces the configuration and sends SIGHUP; returns false if either fails. */
    boolean reload(JsonNode configuration) {
        try {
            write(configuration);
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    public void term() {
        process.destroy();
    }

    /** Waits for the exit and returns its status; kills it after a timeout and returns -1. */
    public int awaitExit() throws InterruptedException {
        if (process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            return process.exitValue();
        }
        process.destroyForcibly().waitFor();
        return -1;
    }

    /** All lines of its log. */
    public List<String> log() throws IOException {
        return Files.readAllLines(logFile());
    }

    /** The last lines of its log; empty if it can't be read. */
    public List<String> lastLines() {
        try {
            List<String> lines = Files.readAllLines(logFile());
            return lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size());
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Writes the configuration atomically: a concurrent reader sees the old or the new file. */
    private void write(JsonNode configuration) throws IOException {
        Path next = folder.resolve("next.json");
        Files.writeString(next, configuration.toString());
        Files.move(next, configFile(), StandardCopyOption.ATOMIC_MOVE);
    }

    private Path configFile() {
        return folder.resolve("config.json");
    }

    private Path logFile() {
        return folder.resolve("sidecar.log");
    }

    @Override
    public void close() {
        clean();
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            // The JVM is shutting down, and the shutdown hook does the same.
        }
    }

    private synchronized void clean() {
        closing = true;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder was deleted before.
        }
    }
}
