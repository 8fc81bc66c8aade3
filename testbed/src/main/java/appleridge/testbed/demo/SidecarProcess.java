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

/** The sidecar as a child process, with a folder of its own; both are gone when this is closed. */
public final class SidecarProcess implements AutoCloseable {
    /** As in service, but for the archive of classes, which only that build makes. */
    private static final List<String> FLAGS =
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

    private static final int STARTS = 3;
    private static final int READY_SECONDS = 60;
    private static final int POLL_MILLIS = 50;
    private static final int ASK_MILLIS = 1000;

    /** It ends by itself within some seconds of SIGTERM. */
    private static final int ENDS_SECONDS = 20;

    private static final int LAST_LINES = 20;

    private final Path jar;
    private final String operator;
    private final Path folder;
    private final Thread atExit = new Thread(this::clean, "sidecar's end");
    private Process process;
    private int port;
    private boolean closing;

    SidecarProcess(Path jar) throws IOException {
        this(jar, "");
    }

    /** With the text of an operator's file; empty for none. */
    public SidecarProcess(Path jar, String operator) throws IOException {
        this.jar = jar;
        this.operator = operator;
        this.folder = Files.createTempDirectory("appleridge-demo");
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    /**
     * Starts it with a configuration made for the port, and waits until it says that it is ready.
     */
    public void start(IntFunction<JsonNode> configuration)
            throws IOException, InterruptedException {
        for (int i = 0; i < STARTS; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = free.getLocalPort();
            }
            write(configuration.apply(port));
            launch();
            // Someone else may have taken the port meanwhile; then it ends, and another one is
            // tried.
            if (awaitReady()) {
                return;
            }
        }
        throw new IOException("the sidecar does not start");
    }

    private synchronized void launch() throws IOException {
        if (closing) {
            throw new IOException("ended from outside");
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
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
            HttpURLConnection asked =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + port + "/health/ready")
                                    .toURL()
                                    .openConnection();
            asked.setConnectTimeout(ASK_MILLIS);
            asked.setReadTimeout(ASK_MILLIS);
            asked.setRequestProperty("Connection", "close");
            return asked.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Where it serves on the loopback address. */
    public int port() {
        return port;
    }

    /** Its process's id. */
    public long pid() {
        return process.pid();
    }

    /** Stops it where it stands, or lets it go on. */
    public void standStill(boolean still) throws IOException, InterruptedException {
        new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Whether it runs. */
    public boolean alive() {
        return process.isAlive();
    }

    /** Replaces its configuration and tells it to read it; false where there is no such signal. */
    boolean reload(JsonNode configuration) {
        try {
            write(configuration);
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** SIGTERM. */
    public void term() {
        process.destroy();
    }

    /** How it ended; -1 if it had to be killed. */
    public int awaitExit() throws InterruptedException {
        if (process.waitFor(ENDS_SECONDS, TimeUnit.SECONDS)) {
            return process.exitValue();
        }
        process.destroyForcibly().waitFor();
        return -1;
    }

    /** All of its log. */
    public List<String> log() throws IOException {
        return Files.readAllLines(logFile());
    }

    /** The end of its log. */
    public List<String> lastLines() {
        try {
            List<String> lines = Files.readAllLines(logFile());
            return lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size());
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Whole at any moment, whoever reads it. */
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
            // The process is ending already, and the hook does the same.
        }
    }

    private synchronized void clean() {
        closing = true;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(ENDS_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Gone already.
        }
    }
}
