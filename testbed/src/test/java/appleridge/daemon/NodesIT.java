package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.discovery.zookeeper.TestEnsemble;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManagerFactory;
import org.apache.zookeeper.ZooKeeper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The packaged jar with ephemeral nodes: as a sidecar, and as the command {@code register}. */
@Timeout(120)
class NodesIT {
    private static final int PROCESS_TIMEOUT_SECONDS = 40;
    private static final String PASSWORD = "changeit";

    @TempDir private Path folder;

    private static String server(String address, String more) {
        return "{\"address\":\"" + address + "\",\"zone\":\"a\",\"kind\":\"m1\"" + more + "}";
    }

    private static StubUpstream respondingWith(String what) throws IOException {
        return new StubUpstream(StubUpstream.respondWith(StubUpstream.response("200 OK", what)));
    }

    private static int freePort() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return unused.getLocalPort();
        }
    }

    private Path operator(TestEnsemble ensemble, String source) throws IOException {
        return Files.writeString(
                folder.resolve("operator.toml"),
                "version = 1\n[membership]\nsource = \""
                        + source
                        + "\"\nservers = [\"127.0.0.1:"
                        + ensemble.address().getPort()
                        + "\"]\nroot = \"/servers\"\nsession-timeout = \"2s\"\n");
    }

    private Process run(Path config, List<String> arguments) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx48m",
                                "-jar",
                                "../sidecar/target/appleridge.jar"));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().remove("BALANCER_CONFIG");
        if (config != null) {
            builder.environment().put("BALANCER_CONFIG", config.toString());
        }
        Process process = builder.start();
        // Ends the process after a time-out; otherwise a missing log line would block the test
        // forever.
        Thread watch =
                new Thread(
                        () -> {
                            try {
                                if (!process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                                    process.destroyForcibly();
                                }
                            } catch (InterruptedException e) {
                                process.destroyForcibly();
                            }
                        });
        watch.setDaemon(true);
        watch.start();
        return process;
    }

    private static TestClient connect(Process process, int port) {
        while (true) {
            try {
                return new TestClient(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            } catch (IOException e) {
                assertTrue(process.isAlive(), "the sidecar ended before it listened");
            }
        }
    }

    private static void awaitStatus(Process process, TestClient client, int status)
            throws Exception {
        while (TestClient.status(client.exchange("GET /health/ready HTTP/1.1\r\n\r\n")) != status) {
            assertTrue(process.isAlive());
        }
    }

    private static void await(BufferedReader log, String text) throws IOException {
        StringBuilder all = new StringBuilder();
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            assertFalse(
                    line.contains("ClassNotFound") || line.contains("NoClassDefFound"),
                    "the packaged jar lacks a class that the client needs: " + line);
            all.append(line).append('\n');
            line = log.readLine();
        }
        assertNotNull(line, "never logged: " + text + "; but\n" + all);
    }

    @Test
    void sidecarFollowsTheNodesAndKeepsTheListDuringAnOutage() throws Exception {
        int port = freePort();
        try (TestEnsemble ensemble = new TestEnsemble();
                StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream one = respondingWith("one");
                StubUpstream two = respondingWith("two")) {
            ensemble.createPersistent("/servers");
            ZooKeeper owner = ensemble.client();
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            LoopbackSidecar.json(
                                            LoopbackSidecar.SettingValues.DEFAULT,
                                            discovery.address())
                                    .replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\""));
            Process process =
                    run(
                            config,
                            List.of("serve", "--operator", operator(ensemble, "nodes").toString()));
            BufferedReader log = process.errorReader();
            try (TestClient client = connect(process, port)) {
                awaitStatus(process, client, 503);
                TestEnsemble.createServerNode(owner, "/servers/s1", server(one.address(), ""));
                awaitStatus(process, client, 200);
                assertTrue(client.exchange(TestClient.request("pay", "2.0")).endsWith("one"));
                TestEnsemble.createServerNode(owner, "/servers/s2", server(two.address(), ""));
                owner.setData(
                        "/servers/s1",
                        server(one.address(), ",\"state\":\"Terminating\"").getBytes(),
                        -1);
                while (!client.exchange(TestClient.request("pay", "2.0")).endsWith("two")) {
                    assertTrue(process.isAlive());
                }
                ensemble.stop();
                await(log, "can't be reached");
                assertTrue(client.exchange(TestClient.request("pay", "2.0")).endsWith("two"));
                ensemble.start();
                await(log, "is heard");
                assertEquals(0, discovery.requests.size(), "the registry is not polled");
                process.destroy();
                assertTrue(process.waitFor(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
                owner.close();
            }
        }
    }

    /**
     * Guards against a server certificate that is accepted unverified, and against a packaged jar
     * that lacks the classes for TLS.
     */
    @Test
    void ensembleCertificateIsVerifiedAgainstTheTrustStore() throws Exception {
        Path store = folder.resolve("ours.p12");
        Path own = certificate(store);
        Path other = certificate(folder.resolve("other.p12"));
        try (TestEnsemble ensemble = new TestEnsemble(tls(store));
                StubUpstream discovery = new StubUpstream(StubUpstream.SILENT)) {
            for (Path trusted : List.of(own, other)) {
                Path operator = operator(ensemble, "nodes");
                Files.writeString(
                        operator,
                        Files.readString(operator)
                                + "[membership.tls]\ntrust-store = \""
                                + trusted
                                + "\"\n");
                Path config =
                        Files.writeString(
                                folder.resolve("config.json"),
                                LoopbackSidecar.json(
                                                LoopbackSidecar.SettingValues.DEFAULT,
                                                discovery.address())
                                        .replace(
                                                "127.0.0.1:1\"", "127.0.0.1:" + freePort() + "\""));
                Process process = run(config, List.of("serve", "--operator", operator.toString()));
                try {
                    await(
                            process.errorReader(),
                            trusted == own
                                    ? "the path of the nodes is not there"
                                    : "ZooKeeper's client: Unexpected throwable");
                } finally {
                    process.destroyForcibly().waitFor();
                }
            }
        }
    }

    /** Creates a key store with a key and certificate, and a file with only the certificate. */
    private Path certificate(Path store) throws Exception {
        Path certificate = Path.of(store.toString().replace(".p12", ".pem"));
        keytool(
                "-genkeypair",
                "-alias",
                "zk",
                "-keyalg",
                "EC",
                "-storetype",
                "PKCS12",
                "-keystore",
                store.toString(),
                "-storepass",
                PASSWORD,
                "-dname",
                "CN=zk",
                "-ext",
                "SAN=IP:127.0.0.1",
                "-validity",
                "30");
        keytool(
                "-exportcert",
                "-rfc",
                "-alias",
                "zk",
                "-keystore",
                store.toString(),
                "-storepass",
                PASSWORD,
                "-file",
                certificate.toString());
        return certificate;
    }

    private static SslContext tls(Path store) throws Exception {
        KeyStore keys = KeyStore.getInstance(store.toFile(), PASSWORD.toCharArray());
        KeyManagerFactory factory =
                KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        factory.init(keys, PASSWORD.toCharArray());
        return SslContextBuilder.forServer(factory).build();
    }

    private static void keytool(String... arguments) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString()));
        command.addAll(List.of(arguments));
        assertEquals(
                0,
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start()
                        .waitFor());
    }

    /**
     * The arguments of {@code register}. A shell script takes the place of the server; the test
     * itself listens on the server's port.
     */
    private List<String> register(TestEnsemble ensemble, int port, String script)
            throws IOException {
        return List.of(
                "register",
                "--operator",
                operator(ensemble, "nodes").toString(),
                "--id",
                "s1",
                "--address",
                "127.0.0.1:" + port,
                "--zone",
                "a",
                "--kind",
                "m1",
                "--drain-for",
                "700",
                "--",
                "sh",
                "-c",
                script);
    }

    private static String nodeData(TestEnsemble ensemble) throws Exception {
        return ensemble.operator().exists("/servers/s1", false) == null
                ? ""
                : new String(
                        ensemble.operator().getData("/servers/s1", false, null),
                        StandardCharsets.UTF_8);
    }

    @Test
    void serverIsRegisteredOnceItListensAndDrainsBeforeItGetsSigterm() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble()) {
            ensemble.createPersistent("/servers");
            int port = freePort();
            Path signalled = folder.resolve("told");
            Process process =
                    run(
                            null,
                            register(
                                    ensemble,
                                    port,
                                    "trap 'date +%s%N > "
                                            + signalled
                                            + "; exit 7' TERM; while :; do sleep 0.05; done"));
            try {
                Thread.sleep(1500);
                assertEquals("", nodeData(ensemble));
                try (ServerSocket listener =
                        new ServerSocket(port, 5, InetAddress.getLoopbackAddress())) {
                    while (!nodeData(ensemble).contains("\"state\":\"Ready\"")) {
                        assertTrue(process.isAlive() && listener.isBound());
                    }
                    process.destroy();
                    while (!nodeData(ensemble).contains("\"state\":\"Terminating\"")) {
                        assertTrue(process.isAlive());
                    }
                    assertTrue(
                            !Files.exists(signalled),
                            "the node is draining before the server gets SIGTERM");
                    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                    assertTrue(Files.exists(signalled));
                    assertEquals(7, process.exitValue());
                    assertEquals("", nodeData(ensemble));
                }
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void exitStatusOfTheServerIsReturnedAndItsNodeRemoved() throws Exception {
        try (TestEnsemble ensemble = new TestEnsemble();
                ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            ensemble.createPersistent("/servers");
            Path end = folder.resolve("end");
            Process process =
                    run(
                            null,
                            register(
                                    ensemble,
                                    listener.getLocalPort(),
                                    "while [ ! -e " + end + " ]; do sleep 0.05; done; exit 3"));
            while (nodeData(ensemble).isEmpty()) {
                assertTrue(process.isAlive());
            }
            Files.createFile(end);
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(3, process.exitValue());
            assertEquals("", nodeData(ensemble));
            Process invalid = run(null, List.of("register", "--id", "x"));
            assertEquals(2, invalid.waitFor());
        }
    }
}
