package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.PackagedClasses;
import appleridge.config.SidecarConfig;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The command {@code serve} of the packaged jar, run as a process. */
@Timeout(120)
class ServeCommandIT {
    @TempDir private Path folder;

    private Process serve(String config) throws IOException {
        return serve(config, null);
    }

    /** Starts a sidecar; its log goes to a file, or to a pipe if {@code log} is null. */
    private Process serve(String config, Path log) throws IOException {
        // Restores the default action of SIGHUP, which the build's parent process may have ignored.
        ProcessBuilder builder =
                new ProcessBuilder(
                        "perl",
                        "-e",
                        "$SIG{HUP} = 'DEFAULT'; exec @ARGV",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-jar",
                        "target/appleridge.jar",
                        "serve");
        builder.environment().remove("BALANCER_CONFIG");
        if (config != null) {
            Path file = folder.resolve("config.json");
            Files.writeString(file, config);
            builder.environment().put("BALANCER_CONFIG", file.toString());
        }
        if (log != null) {
            builder.redirectError(log.toFile());
        }
        return builder.start();
    }

    @Test
    void missingOrInvalidConfigurationEndsWithOneLine() throws Exception {
        for (String config : new String[] {null, "{", "{}", "[]", "{\"settings\":{}}"}) {
            Process process = serve(config);
            String err =
                    new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertNotEquals(0, process.waitFor());
            assertEquals(1, err.strip().lines().count(), err);
            assertTrue(err.startsWith("appleridge: "), err);
        }
    }

    private String output(String... arguments) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", "../deploy/warm-up.json");
        Process process = builder.start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return "status " + process.waitFor() + "\n" + text;
    }

    /** Guards against optional features that add to the start-up cost of a sidecar without them. */
    @Test
    void classesOfOptionalPartsAreNotLoadedByDefault() throws Exception {
        String loaded = output("-Xlog:class+load", "-jar", "target/appleridge.jar", "warm-up");
        assertTrue(loaded.startsWith("status 0"), loaded);
        assertTrue(loaded.contains("appleridge.daemon.Sidecar "), "the loaded classes are listed");
        for (String optional :
                new String[] {
                    "appleridge.config.operator",
                    "dataformat.toml",
                    "appleridge.discovery.ephemeral",
                    "appleridge.discovery.zookeeper",
                    "appleridge.discovery.registration",
                    "appleridge.daemon.NodeDiscoveryAdapter",
                    "appleridge.daemon.ZooKeeperStartup",
                    "zookeeper",
                    "org.slf4j",
                    "appleridge.transport.InheritedListener",
                    "appleridge.admin",
                    "appleridge.daemon.AdminService",
                    "appleridge.hotrestart",
                    "appleridge.daemon.HotRestart"
                }) {
            PackagedClasses.assertPackaged(optional);
            assertFalse(loaded.contains(optional), optional);
        }
    }

    /**
     * Guards against concurrent builds on one machine that fail each other because both warm up at
     * the same address.
     */
    @Test
    void warmUpWorksWhereTheConfiguredAddressIsInUse() throws Exception {
        JsonNode file = new ObjectMapper().readTree(Path.of("../deploy/warm-up.json").toFile());
        InetSocketAddress address = SidecarConfig.literalAddress(file.path("listen").asText());
        try (ServerSocket held = new ServerSocket()) {
            held.setReuseAddress(true);
            held.bind(address);
            String output = output("-jar", "target/appleridge.jar", "warm-up");
            assertTrue(output.startsWith("status 0"), output);
            assertFalse(output.contains("can't"), output);
        }
    }

    @Test
    void invalidOperatorFileIsReportedAndNothingStarts() throws Exception {
        Path file = folder.resolve("operator.toml");
        Files.writeString(
                file,
                "version = 1\n[clients]\nidle-timeuot = \"5s\"\n[limits]\nclients-part = 7\n");
        for (String[] arguments :
                new String[][] {
                    {"serve", "--operator", file.toString()},
                    {"check-config", "--operator", file.toString()}
                }) {
            List<String> command = new ArrayList<>(List.of("-jar", "target/appleridge.jar"));
            command.addAll(List.of(arguments));
            String output = output(command.toArray(String[]::new));
            assertTrue(output.startsWith("status 2"), output);
            assertTrue(
                    output.contains("clients.idle-timeuot")
                            && output.contains("limits.clients-part"),
                    output);
        }
    }

    /**
     * Guards against readiness that is reported before the start is complete: clients connect at
     * once and would wait. The last log line of the start precedes the first 200.
     */
    @Test
    void readinessComesAfterTheLastStepOfTheStart() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        Path log = folder.resolve("log");
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream = new StubUpstream(StubUpstream.SILENT)) {
            String json =
                    LoopbackSidecar.json(
                                    LoopbackSidecar.SettingValues.DEFAULT,
                                    discovery.address(),
                                    LoopbackSidecar.targets(upstream))
                            .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\"");
            Process process = serve(json, log);
            try (TestClient client = connect(process, port)) {
                while (TestClient.status(client.exchange("GET /health/ready HTTP/1.1\r\n\r\n"))
                        != 200) {
                    assertTrue(process.isAlive());
                }
                String output = Files.readString(log);
                assertTrue(output.contains(" serves at "), output);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void sigtermAnswersOpenRequestsAndEndsWithStatusZero() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        CountDownLatch release = new CountDownLatch(1);
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    release.await(
                                            LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                                    StubUpstream.write(
                                            socket, StubUpstream.response("200 OK", "fine"));
                                    return true;
                                })) {
            String json =
                    LoopbackSidecar.json(
                                    LoopbackSidecar.SettingValues.DEFAULT,
                                    discovery.address(),
                                    LoopbackSidecar.targets(upstream))
                            .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\"");
            Path log = folder.resolve("log");
            Process process = serve(json, log);
            try (TestClient client = connect(process, port)) {
                while (TestClient.status(client.exchange("GET /health/ready HTTP/1.1\r\n\r\n"))
                        != 200) {
                    assertTrue(process.isAlive());
                }
                client.send(TestClient.request("pay", "3.0"));
                upstream.nextRequest();
                process.destroy();
                release.countDown();
                assertEquals(200, TestClient.status(client.read()));
                assertNull(client.read());
                assertTrue(process.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
                String output = Files.readString(log);
                assertTrue(output.contains("drain.step step=begun"), output);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Guards against responses that are late by the length of a stall, because the time that the
     * request spent unread is not counted.
     */
    @Test
    void requestReadAfterAStallIsAnsweredWithinItsTimeout() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream = new StubUpstream(StubUpstream.SILENT)) {
            String json =
                    LoopbackSidecar.json(
                                    LoopbackSidecar.SettingValues.DEFAULT,
                                    discovery.address(),
                                    LoopbackSidecar.targets(upstream))
                            .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\"");
            Process process = serve(json);
            try (TestClient client = connect(process, port)) {
                while (TestClient.status(client.exchange("GET /health/ready HTTP/1.1\r\n\r\n"))
                        != 200) {
                    assertTrue(process.isAlive());
                }
                signal(process, "STOP");
                long sent = System.nanoTime();
                client.send(TestClient.request("pay", "0.9"));
                Thread.sleep(600);
                signal(process, "CONT");
                assertEquals(504, TestClient.status(client.read()));
                long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent);
                assertTrue(took < 1250, "response after ms: " + took);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void signal(Process process, String name) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    /**
     * The sidecar listens before its warm-up is complete. Guards against requests that are lost
     * when it is restarted during the warm-up.
     */
    @Test
    void sigtermDuringWarmUpAnswersOpenRequests() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        CountDownLatch release = new CountDownLatch(1);
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    release.await(
                                            LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                                    StubUpstream.write(
                                            socket, StubUpstream.response("200 OK", "fine"));
                                    return true;
                                })) {
            String json =
                    LoopbackSidecar.json(
                                    LoopbackSidecar.SettingValues.DEFAULT,
                                    discovery.address(),
                                    LoopbackSidecar.targets(upstream))
                            .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\"");
            Process process = serve(json);
            try (TestClient client = connect(process, port)) {
                client.send(TestClient.request("pay", "3.0"));
                upstream.nextRequest();
                process.destroy();
                release.countDown();
                assertEquals(200, TestClient.status(client.read()));
                assertNull(client.read());
                assertTrue(process.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against a failed start that ends with status 0. */
    @Test
    void addressInUseEndsTheStartWithStatusOne() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process =
                    serve(
                            LoopbackSidecar.json(
                                            LoopbackSidecar.SettingValues.DEFAULT, "127.0.0.1:9")
                                    .replace(
                                            "127.0.0.1:1\"",
                                            "127.0.0.1:" + taken.getLocalPort() + "\""));
            String err =
                    new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(1, process.waitFor(), err);
            assertTrue(err.contains("appleridge: can't start: "), err);
        }
    }

    /**
     * Guards against the JVM's default action on SIGHUP, which is to terminate, and against reloads
     * of invalid files.
     */
    @Test
    void sighupSwitchesDiscoveryAndAnInvalidFileChangesNothing() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream other = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                StubUpstream.respondWith(
                                        StubUpstream.response("200 OK", "fine")))) {
            String json =
                    LoopbackSidecar.json(
                                    LoopbackSidecar.SettingValues.DEFAULT,
                                    discovery.address(),
                                    LoopbackSidecar.targets(upstream))
                            .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\"");
            Process process = serve(json);
            try (TestClient client = connect(process, port)) {
                while (TestClient.status(client.exchange("GET /health/ready HTTP/1.1\r\n\r\n"))
                        != 200) {
                    assertTrue(process.isAlive());
                }
                BufferedReader log = process.errorReader();
                await(log, "serves at");
                Files.writeString(
                        folder.resolve("config.json"), json.substring(0, json.length() / 2));
                signal(process, "HUP");
                await(log, "new configuration not used");
                Files.writeString(
                        folder.resolve("config.json"),
                        json.replace(discovery.address(), other.address())
                                .replace("\"n0\"", "\"n1\""));
                signal(process, "HUP");
                await(log, "needs a restart to take effect: name");
                assertTrue(other.nextRequest().startsWith("GET /registry/instances HTTP"));
                assertEquals(
                        200, TestClient.status(client.exchange(TestClient.request("pay", "3.0"))));
                signal(process, "HUP");
                process.destroy();
                assertTrue(process.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Waits for a log line. A blocking read can't be interrupted, so the log is read only when it
     * has input.
     */
    private static void await(BufferedReader log, String text) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
        while (System.nanoTime() < until) {
            if (!log.ready()) {
                Thread.sleep(5);
            } else if (log.readLine().contains(text)) {
                return;
            }
        }
        throw new AssertionError("never logged: " + text);
    }

    /** Guards against reloads that silently never happen because SIGHUP is ignored, as by nohup. */
    @Test
    void ignoredSighupIsLogged() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT)) {
            Path file = folder.resolve("config.json");
            Files.writeString(
                    file,
                    LoopbackSidecar.json(LoopbackSidecar.SettingValues.DEFAULT, discovery.address())
                            .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\""));
            ProcessBuilder builder =
                    new ProcessBuilder(
                            "sh",
                            "-c",
                            "trap '' HUP; exec \"$0\" \"$@\"",
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-jar",
                            "target/appleridge.jar",
                            "serve");
            builder.environment().put("BALANCER_CONFIG", file.toString());
            Process process = builder.start();
            try {
                BufferedReader log = process.errorReader();
                await(log, "SIGHUP is ignored");
                signal(process, "HUP");
                process.destroy();
                assertTrue(process.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static TestClient connect(Process process, int port) throws IOException {
        while (true) {
            try {
                return new TestClient(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            } catch (IOException e) {
                assertTrue(process.isAlive(), "the sidecar ended before it listened");
            }
        }
    }
}
