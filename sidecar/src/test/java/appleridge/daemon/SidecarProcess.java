package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A sidecar process that runs the packaged jar with the memory limits of the deploy file, with a
 * port for clients, an admin port and a log file.
 */
final class SidecarProcess implements AutoCloseable {
    /** The time in which a sidecar has to become ready, however slow its machine is. */
    private static final long MAX_START_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Process process;
    private final int port;
    private final int admin;
    private final Path config;
    private final Path log;
    private final List<Process> busyProcesses = new ArrayList<>();

    private SidecarProcess(Process process, int port, int admin, Path config, Path log) {
        this.process = process;
        this.port = port;
        this.admin = admin;
        this.config = config;
        this.log = log;
    }

    /**
     * Starts a sidecar and waits until it is ready.
     *
     * @param folder directory for its configuration and its log
     * @param json the configuration, from {@link LoopbackSidecar#json}
     * @param environment additional environment variables
     */
    static SidecarProcess start(Path folder, String json, Map<String, String> environment)
            throws IOException {
        SidecarProcess sidecar = launch(folder, json, environment);
        sidecar.awaitReady();
        return sidecar;
    }

    /** Starts a sidecar as {@link #start} does, and does not wait until it is ready. */
    static SidecarProcess launch(Path folder, String json, Map<String, String> environment)
            throws IOException {
        int port = unusedPort();
        int admin = unusedPort();
        Path config = Files.createTempFile(folder, "config", ".json");
        Path log = Files.createTempFile(folder, "sidecar", ".log");
        Files.writeString(config, withPort(json, port));
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-Xms48m",
                        "-Xmx48m",
                        "-XX:MaxDirectMemorySize=24m",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-jar",
                        "target/appleridge.jar",
                        "serve");
        builder.environment().putAll(environment);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_ADMIN", "127.0.0.1:" + admin);
        Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        return new SidecarProcess(process, port, admin, config, log);
    }

    private static String withPort(String json, int port) {
        return json.replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\"");
    }

    /** Replaces the configuration, and sends SIGHUP. */
    void reload(String json) throws IOException, InterruptedException {
        Files.writeString(config, withPort(json, port));
        signal("HUP");
    }

    private static int unusedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Waits until the sidecar reports that it is ready. */
    void awaitReady() throws IOException {
        long until = System.nanoTime() + MAX_START_NANOS;
        while (true) {
            assertTrue(System.nanoTime() < until, "the sidecar is not ready");
            try (TestClient client = new TestClient(address())) {
                String response = client.exchange("GET /health/ready HTTP/1.1\r\n\r\n");
                if (response != null && TestClient.status(response) == 200) {
                    return;
                }
            } catch (IOException e) {
                assertTrue(process.isAlive(), "the sidecar ended before it was ready");
            }
        }
    }

    /** The address on which clients connect. */
    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** The value of a metric, by its name without the common prefix. */
    long metric(String name) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), admin)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
            StubUpstream.write(socket, "METRICS\n");
            String text =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return text.lines()
                    .filter(line -> line.startsWith("appleridge_" + name + " "))
                    .findFirst()
                    .map(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
                    .orElseThrow();
        }
    }

    /** Whether the process has not ended. */
    boolean isAlive() {
        return process.isAlive();
    }

    /** The processor time that the process has used, in milliseconds. */
    long cpuMillis() {
        return process.info().totalCpuDuration().orElseThrow().toMillis();
    }

    /** The log so far. */
    String log() throws IOException {
        return Files.readString(log);
    }

    /** Sends a signal by its name, such as {@code STOP}; no effect if the process has ended. */
    void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertTrue(kill.waitFor() == 0 || !process.isAlive(), "kill -" + name);
    }

    /**
     * Gives the process a part of one core, beside processes that use all that they get. They end
     * with the sidecar.
     */
    void shareCoreWithBusyProcesses(int count) throws IOException, InterruptedException {
        Process pin =
                new ProcessBuilder("taskset", "-a", "-c", "-p", "0", Long.toString(process.pid()))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        assertTrue(pin.waitFor() == 0, "taskset");
        for (int i = 0; i < count; i++) {
            busyProcesses.add(
                    new ProcessBuilder("taskset", "-c", "0", "sh", "-c", "while :; do :; done")
                            .start());
        }
    }

    /** Pauses the process, as a machine does that gives the core to other processes. */
    void pause(long millis) throws IOException, InterruptedException {
        signal("STOP");
        Thread.sleep(millis);
        signal("CONT");
    }

    /** Waits for the process to end and returns its exit status. */
    int awaitExit() throws InterruptedException {
        assertTrue(
                process.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS),
                "the sidecar did not end");
        return process.exitValue();
    }

    @Override
    public void close() {
        busyProcesses.forEach(Process::destroyForcibly);
        process.destroyForcibly();
    }
}
