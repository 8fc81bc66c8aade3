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
 * The operators' line over loopback: what it does to a sidecar at work, and who may not take it.
 */
@Timeout(120)
class AdminServerTest {
    private static final String GOOD = StubUpstream.response("200 OK", "fine");

    private final InetSocketAddress admin = unused();

    private static InetSocketAddress unused() {
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

    /** What is answered to some text, up to the end of the connection. */
    private String say(String text, boolean endsItsSide) throws IOException {
        try (Socket socket = open()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            if (endsItsSide) {
                socket.shutdownOutput();
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private String call(String line) throws IOException {
        return say(line + "\n", false);
    }

    private static long figure(String figures, String name) {
        return figures.lines()
                .filter(line -> line.startsWith("appleridge_" + name + " "))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
                .orElseThrow();
    }

    private static long sum(String figures, String name) {
        return figures.lines()
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
            int before = a.requests.size();
            // Discovery says again that it is ready, as it does without end.
            node.queueList(LoopbackSidecar.list(2, true, LoopbackSidecar.targets(a, b)));
            for (int i = 0; i < 40; i++) {
                assertEquals(
                        200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            }
            assertEquals(before, a.requests.size());
            assertEquals("YES\n", call("SUSPEND u1"));
            long asked = System.nanoTime();
            assertEquals(503, TestClient.status(node.exchange(TestClient.request("pay", "3.0"))));
            assertTrue(System.nanoTime() - asked < TimeUnit.MILLISECONDS.toNanos(1500), "at once");
            assertEquals("NO not ready\n", call("STATUS"));
            assertEquals("YES\n", call("RESTORE u0"));
            assertEquals("NO unknown upstream\n", call("RESTORE u7"));
            assertEquals(200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            assertTrue(a.requests.size() > before);
        }
    }

    @Test
    void eachFormOfACallHasItsReply() throws Exception {
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(GOOD));
                LoopbackSidecar node =
                        new LoopbackSidecar(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                admin,
                                LoopbackSidecar.targets(upstream))) {
            assertEquals("YES\n", say("STATUS\r\n", false));
            assertEquals("YES\n", say("STATUS\n", true));
            assertEquals("YES\n", say("STATUS", true));
            assertEquals("", say("", true));
            assertEquals("YES\n", say("STATUS\nSUSPEND u0\n", false), "one line a connection");
            assertEquals("NO line too long\n", say("x".repeat(2000), false));
            assertEquals("NO line too long\n", say("x".repeat(1025) + "\n", false));
            assertEquals("NO not text\n", say("GET / HTTP/1.1\u0001\r\n\r\n", false));
            assertEquals("NO unknown call\n", say("GET / HTTP/1.1\r\nHost: a\r\n\r\n", false));
            try (Socket slow = open()) {
                for (char each : "STATUS\n".toCharArray()) {
                    slow.getOutputStream().write(each);
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

    /** Guards against callers that only connect, or flood, and so keep out who asks. */
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
                long asked = System.nanoTime();
                assertEquals("YES\n", call("STATUS"));
                long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
                assertTrue(took < 1000, took + " ms");
                assertEquals(
                        200, TestClient.status(node.exchange(TestClient.request("read", "3.0"))));
            } finally {
                for (Socket each : silent) {
                    each.close();
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

    /** Guards against events counted twice or not at all: an outside observer counts the same. */
    @Test
    void metricsAreWhatAnOutsideObserverCounts() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        StubUpstream.Script script =
                (socket, request) ->
                        switch (turn.getAndIncrement() % 5) {
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
            int refused = 0;
            int failed = 0;
            int malformed = 0;
            int asked = 0;
            TestClient client = null;
            for (int i = 0; i < 1500; i++) {
                client = client == null ? new TestClient(node.runner.address()) : client;
                boolean senseless = random.nextInt(20) == 0;
                String text = TestClient.request(classes[random.nextInt(classes.length)], "3.0");
                String answer =
                        client.exchange(
                                senseless ? text.replace("X-Class: ", "X-Class: no-") : text);
                switch (TestClient.status(answer)) {
                    case 200 -> served++;
                    case 503 -> refused++;
                    case 400 -> malformed++;
                    default -> failed++;
                }
                asked += senseless ? 0 : 1;
                if (answer.toLowerCase().contains("connection: close")) {
                    client.close();
                    client = null;
                }
            }
            if (client != null) {
                client.close();
            }
            String figures = call("METRICS");
            assertTrue(figures.endsWith("# EOF\n"), figures);
            assertEquals(asked, sum(figures, "requests"), figures);
            assertEquals(served, sum(figures, "requests_served"), figures);
            assertEquals(refused, sum(figures, "requests_refused"), figures);
            assertEquals(failed, sum(figures, "requests_failed"), figures);
            assertEquals(malformed, figure(figures, "malformed_total"), figures);
            assertEquals(0, sum(figures, "requests_left"), figures);
            assertEquals(0, figure(figures, "requests_open"), figures);
            assertEquals(a.requests.size() + b.requests.size(), sum(figures, "attempts"), figures);
            assertEquals(2, figure(figures, "upstreams_ready"));
            assertTrue(served > 0 && failed > 0 && malformed > 0);
        } catch (SocketException e) {
            throw new AssertionError("an answer was cut off", e);
        }
    }
}
