package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The admin protocol over loopback: its effect on a serving sidecar, and callers that misbehave.
 */
@Timeout(120)
class AdminServerTest {
    private static final String GOOD = StubUpstream.response("200 OK", "fine");

    private final InetSocketAddress admin = unusedAddress();

    private static InetSocketAddress unusedAddress() {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), unused.getLocalPort());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private Socket open() throws IOException {
        Socket socket = new Socket();
        socket.connect(admin, (int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        return socket;
    }

    /** Sends a text and returns all that the server sends until it closes the connection. */
    private String exchange(String text, boolean shutDownOutput) throws IOException {
        try (Socket socket = open()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            if (shutDownOutput) {
                socket.shutdownOutput();
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private String call(String line) throws IOException {
        return exchange(line + "\n", false);
    }

    private static long metric(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith("appleridge_" + name + " "))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
                .orElseThrow();
    }

    private static long sum(String metrics, String name) {
        return metrics.lines()
                .filter(line -> line.startsWith("appleridge_" + name + "_total{"))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    @Test
    void suspendedHostGetsNoRequestsUntilItIsRestored() throws Exception {
        try (StubUpstream a = new StubUpstream(StubUpstream.respondWith(GOOD));
                StubUpstream b = new StubUpstream(StubUpstream.respondWith(GOOD));
                LoopbackSidecar node =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                admin,
                                LoopbackSidecar.targets(a, b))) {
            assertEquals("YES\n", call("STATUS"));
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            }
            assertTrue(a.requests.size() > 0);
            assertEquals("YES\n", call("SUSPEND u0"));
            int requestsToA = a.requests.size();
            // Discovery keeps reporting that the host is ready.
            node.queueList(LoopbackSidecar.list(2, true, LoopbackSidecar.targets(a, b)));
            for (int i = 0; i < 40; i++) {
                assertEquals(
                        200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            }
            assertEquals(requestsToA, a.requests.size());
            assertEquals("YES\n", call("SUSPEND u1"));
            long sentAtNanos = System.nanoTime();
            assertEquals(503, TestClient.status(node.exchange(TestClient.request("pay", "3.0"))));
            assertTrue(
                    System.nanoTime() - sentAtNanos < TimeUnit.MILLISECONDS.toNanos(1500),
                    "rejected at once");
            assertEquals("NO not ready\n", call("STATUS"));
            assertEquals("YES\n", call("RESTORE u0"));
            assertEquals("NO unknown upstream\n", call("RESTORE u7"));
            assertEquals(200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            assertTrue(a.requests.size() > requestsToA);
        }
    }

    @Test
    void everyFormOfACallGetsItsReply() throws Exception {
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(GOOD));
                LoopbackSidecar node =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                admin,
                                LoopbackSidecar.targets(upstream))) {
            assertEquals("YES\n", exchange("STATUS\r\n", false));
            assertEquals("YES\n", exchange("STATUS\n", true));
            assertEquals("YES\n", exchange("STATUS", true));
            assertEquals("", exchange("", true));
            assertEquals(
                    "YES\n",
                    exchange("STATUS\nSUSPEND u0\n", false),
                    "only the first line of a connection is a call");
            assertEquals("NO line too long\n", exchange("x".repeat(2000), false));
            assertEquals("NO line too long\n", exchange("x".repeat(1025) + "\n", false));
            assertEquals("NO not text\n", exchange("GET / HTTP/1.1\u0001\r\n\r\n", false));
            assertEquals("NO unknown call\n", exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false));
            try (Socket slow = open()) {
                for (char character : "STATUS\n".toCharArray()) {
                    slow.getOutputStream().write(character);
                    Thread.sleep(5);
                }
                assertEquals(
                        "YES\n",
                        new String(
                                slow.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
            }
            assertEquals(200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
        }
    }

    /** Guards against many connections without a call that delay the calls of others. */
    @Test
    void silentConnectionsDoNotDelayCalls() throws Exception {
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(GOOD));
                LoopbackSidecar node =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                admin,
                                LoopbackSidecar.targets(upstream))) {
            List<Socket> silent = new ArrayList<>();
            try {
                for (int i = 0; i < 400; i++) {
                    silent.add(open());
                }
                long sentAtNanos = System.nanoTime();
                assertEquals("YES\n", call("STATUS"));
                long durationMillis =
                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos);
                assertTrue(durationMillis < 1000, "call took " + durationMillis + " ms");
                assertEquals(
                        200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            } finally {
                for (Socket socket : silent) {
                    socket.close();
                }
            }
            assertEquals("YES\n", call("STATUS"));
        }
    }

    @Test
    void connectionThatNeverMakesACallIsRefused() throws Exception {
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(GOOD));
                LoopbackSidecar node =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                admin,
                                LoopbackSidecar.targets(upstream));
                Socket silent = open()) {
            assertEquals(200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            assertEquals(
                    "NO no call came in time\n",
                    new String(silent.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
        }
    }

    /** Guards against events that are counted twice or not at all. */
    @Test
    void metricsMatchTheCountsOfClientsAndUpstreams() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        StubUpstream.Script script =
                (socket, request) ->
                        switch (requestCount.getAndIncrement() % 5) {
                            case 0 -> StubUpstream.reset(socket);
                            case 1 -> {
                                StubUpstream.write(
                                        socket, StubUpstream.response("500 Wrong", "bad"));
                                yield true;
                            }
                            case 2 -> {
                                StubUpstream.write(
                                        socket,
                                        StubUpstream.response("503 Full", "", "X-Not-Run: 1"));
                                yield true;
                            }
                            default -> {
                                StubUpstream.write(socket, GOOD);
                                yield true;
                            }
                        };
        Random random = new Random(11);
        String[] classes = {"read", "write", "hold", "pay"};
        try (StubUpstream a = new StubUpstream(script);
                StubUpstream b = new StubUpstream(script);
                LoopbackSidecar node =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                admin,
                                LoopbackSidecar.targets(a, b))) {
            int served = 0;
            int rejected = 0;
            int failed = 0;
            int malformed = 0;
            int sent = 0;
            TestClient client = null;
            for (int i = 0; i < 1500; i++) {
                client = client == null ? new TestClient(node.runner.address()) : client;
                boolean unknownClass = random.nextInt(20) == 0;
                String text = TestClient.request(classes[random.nextInt(classes.length)], "3.0");
                String answer =
                        client.exchange(
                                unknownClass ? text.replace("X-Class: ", "X-Class: no-") : text);
                switch (TestClient.status(answer)) {
                    case 200 -> served++;
                    case 503 -> rejected++;
                    case 400 -> malformed++;
                    default -> failed++;
                }
                sent += unknownClass ? 0 : 1;
                if (answer.toLowerCase().contains("connection: close")) {
                    client.close();
                    client = null;
                }
            }
            if (client != null) {
                client.close();
            }
            String metrics = call("METRICS");
            assertTrue(metrics.endsWith("# EOF\n"), metrics);
            assertEquals(sent, sum(metrics, "requests"), metrics);
            assertEquals(served, sum(metrics, "requests_served"), metrics);
            assertEquals(rejected, sum(metrics, "requests_refused"), metrics);
            assertEquals(failed, sum(metrics, "requests_failed"), metrics);
            assertEquals(malformed, metric(metrics, "malformed_total"), metrics);
            assertEquals(0, sum(metrics, "requests_left"), metrics);
            assertEquals(0, metric(metrics, "requests_open"), metrics);
            assertEquals(a.requests.size() + b.requests.size(), sum(metrics, "attempts"), metrics);
            assertEquals(2, metric(metrics, "upstreams_ready"));
            assertTrue(served > 0 && failed > 0 && malformed > 0);
        } catch (SocketException e) {
            throw new AssertionError("an answer was cut off", e);
        }
    }
}
