package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.request.InFlightCounts;
import appleridge.transport.NioSocketFactory;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SystemLog;
import appleridge.transport.SystemTime;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Upstreams end attempts with random responses, invalid bytes, resets and silence, and clients
 * disconnect at any time. The test checks that non-idempotent requests run once, that responses are
 * correct, and that nothing is left in flight at the end.
 */
@Timeout(120)
class RandomEndingsTest {
    private static final int UPSTREAMS = 6;
    private static final int CLIENTS = 6;
    private static final int REQUESTS = 40;
    private static final String[] CLASSES = {"read", "write", "hold", "pay", "pay"};

    /** How an upstream ends an attempt; the order is part of the random sequence. */
    private enum Ending {
        GOOD,
        GOOD_WITH_CONNECTION_CLOSE,
        GOOD_THEN_CLOSE,
        DUPLICATE_RESPONSE,
        INVALID_BYTES_AFTER_RESPONSE,
        INTERIM,
        ERROR,
        REJECTED_NOT_RUN,
        REJECTED_MAY_HAVE_RUN,
        INVALID_BYTES,
        RESET,
        CLOSE,
        PARTIAL_HEAD,
        PARTIAL_BODY,
        PAUSE,
        NO_RESPONSE,
        UNDELIMITED_THEN_RESET,
        PARTIAL_REJECTION
    }

    /** A complete request received by an upstream. */
    private static final class ReceivedRequest {
        final int server;
        volatile boolean notRun;

        ReceivedRequest(int server) {
            this.server = server;
        }
    }

    private final Map<String, Queue<ReceivedRequest>> received = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean alwaysRespondCorrectly;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private Sidecar sidecar;
    private InetSocketAddress address;

    @AfterEach
    void end() throws Exception {
        loop.submit(() -> sidecar.close()).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void start(boolean restricted, StubUpstream discovery, String... targets)
            throws Exception {
        String json =
                LoopbackSidecar.json(
                        LoopbackSidecar.SettingValues.DEFAULT, discovery.address(), targets);
        if (restricted) {
            json =
                    json.replace("\"mayCancel\":true", "\"mayCancel\":false")
                            .replace("\"tryLimit\":6", "\"tryLimit\":2")
                            .replace("\"retryAfter\":true", "\"peers\":true")
                            .replace("\"keyTtl\":5000000000", "\"keyTtl\":100000000")
                            .replace("\"deadline\":3000000000", "\"deadline\":300000000");
        }
        SidecarConfig config =
                SidecarConfig.parse(new ObjectMapper().readTree(json))
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        SidecarEventLoop sidecarLoop =
                new SidecarEventLoop(
                        loop,
                        SystemTime.UNIX_MILLIS,
                        new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.WARNING));
        sidecar =
                loop.submit(
                                () ->
                                        new Sidecar(
                                                sidecarLoop,
                                                new NioSocketFactory(),
                                                config,
                                                RuntimeOptions.DEFAULTS,
                                                SymmetricRoundRobinPolicy::new))
                        .get();
        address = (InetSocketAddress) sidecar.listening().sync().channel().localAddress();
    }

    private InFlightCounts inFlightCounts() throws Exception {
        return loop.submit(() -> sidecar.inFlightCounts()).get();
    }

    private boolean serve(int server, Socket socket, String request, Random random)
            throws IOException, InterruptedException {
        String id = StubUpstream.header(request, "x-request-id");
        String requestClass = StubUpstream.header(request, "x-class");
        ReceivedRequest current = new ReceivedRequest(server);
        Queue<ReceivedRequest> all =
                received.computeIfAbsent(id, any -> new ConcurrentLinkedQueue<>());
        for (ReceivedRequest earlier : all) {
            boolean allowed =
                    switch (requestClass) {
                        case "pay" -> false;
                        // Idempotent by key within a zone; the upstreams alternate between two
                        // zones.
                        case "hold" -> earlier.server % 2 == server % 2;
                        default -> true;
                    };
            if (!earlier.notRun && !allowed) {
                violations.add("executed twice: " + requestClass + " " + id);
            }
        }
        Ending ending;
        int millis;
        synchronized (random) {
            ending =
                    alwaysRespondCorrectly || random.nextInt(3) == 0
                            ? Ending.GOOD
                            : Ending.values()[random.nextInt(Ending.values().length)];
            millis = random.nextInt(20);
        }
        // Set before the response is sent, because the retry that it allows may arrive at once.
        current.notRun = ending == Ending.REJECTED_NOT_RUN;
        all.add(current);
        Thread.sleep(millis);
        return respond(ending, socket, StubUpstream.response("200 OK", id), id);
    }

    private static boolean respond(Ending ending, Socket socket, String good, String id)
            throws IOException, InterruptedException {
        String text =
                switch (ending) {
                    case GOOD, GOOD_THEN_CLOSE -> good;
                    case GOOD_WITH_CONNECTION_CLOSE ->
                            StubUpstream.response("200 OK", id, "Connection: close");
                    case DUPLICATE_RESPONSE -> good + good;
                    case INVALID_BYTES_AFTER_RESPONSE -> good + "\u0000noise";
                    case INTERIM -> "HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + good;
                    case ERROR ->
                            StubUpstream.response("500 Internal Server Error", "", "X-Not-Run: 1");
                    case REJECTED_NOT_RUN ->
                            StubUpstream.response("503 Service Unavailable", "", "X-Not-Run: 1");
                    case REJECTED_MAY_HAVE_RUN ->
                            StubUpstream.response("503 Service Unavailable", "", "X-Not-Run: 0");
                    case INVALID_BYTES -> "\u0000\u0001 noise\r\n\r\n";
                    case PARTIAL_HEAD -> good.substring(0, 12);
                    case PARTIAL_BODY, PAUSE -> good.substring(0, good.length() - 1);
                    case UNDELIMITED_THEN_RESET -> "HTTP/1.1 200 OK\r\n\r\n" + id;
                    case PARTIAL_REJECTION ->
                            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
                                    + "Content-Length: 4\r\n\r\nno";
                    case RESET, CLOSE, NO_RESPONSE -> "";
                };
        StubUpstream.write(socket, text);
        return switch (ending) {
            case GOOD_WITH_CONNECTION_CLOSE, GOOD_THEN_CLOSE, CLOSE, PARTIAL_BODY -> false;
            case RESET, PARTIAL_HEAD, UNDELIMITED_THEN_RESET, PARTIAL_REJECTION ->
                    StubUpstream.reset(socket);
            case PAUSE -> {
                Thread.sleep(400);
                StubUpstream.write(socket, good.substring(good.length() - 1));
                yield true;
            }
            default -> true;
        };
    }

    private void runClient(Random random) {
        try {
            TestClient client = new TestClient(address);
            for (int i = 0; i < REQUESTS; i++) {
                String requestClass = CLASSES[random.nextInt(CLASSES.length)];
                String text = TestClient.request(requestClass, "0." + (1 + random.nextInt(9)));
                client.send(text);
                if (random.nextInt(6) == 0) {
                    Thread.sleep(random.nextInt(60));
                    if (random.nextBoolean()) {
                        client.socket.setSoLinger(true, 0);
                    }
                    client.close();
                    client = new TestClient(address);
                    continue;
                }
                checkResponse(
                        requestClass, StubUpstream.header(text, "x-request-id"), client.read());
            }
            client.close();
        } catch (IOException e) {
            violations.add("a client connection failed: " + e);
        } catch (Exception e) {
            violations.add(e.toString());
        }
    }

    private void checkResponse(String requestClass, String id, String response) {
        if (response == null) {
            violations.add("no response: " + requestClass + " " + id);
            return;
        }
        int status = TestClient.status(response);
        boolean ran =
                received.getOrDefault(id, new ConcurrentLinkedQueue<>()).stream()
                        .anyMatch(each -> !each.notRun);
        if (status == 200 && !TestClient.body(response).equals(id)) {
            violations.add(
                    "response to another request: " + requestClass + " " + id + ": " + response);
        }
        if ((status == 429 || status == 503)
                && ran
                && (requestClass.equals("pay") || requestClass.equals("hold"))) {
            violations.add("rejected although it may have run: " + requestClass + " " + id);
        }
        served.addAndGet(status == 200 ? 1 : 0);
    }

    /**
     * Guards against non-idempotent requests that run twice, responses to another request, and
     * requests or attempts that stay in flight forever. Even seeds use more restricted settings:
     * two attempts, no cancellation, short deadlines and short idempotency key lifetimes.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void nonIdempotentRequestsRunAtMostOnceAndNothingStaysInFlight(long seed) throws Exception {
        Random random = new Random(seed);
        List<StubUpstream> servers = new ArrayList<>();
        String[] targets = new String[UPSTREAMS];
        for (int i = 0; i < UPSTREAMS; i++) {
            int server = i;
            servers.add(
                    new StubUpstream((socket, request) -> serve(server, socket, request, random)));
            targets[i] =
                    LoopbackSidecar.target("u" + i, servers.get(i).address(), "Ready")
                            .replace("\"az\":\"a\"", i % 2 == 0 ? "\"az\":\"a\"" : "\"az\":\"b\"");
        }
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT)) {
            start(seed % 2 == 0, discovery, targets);
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Random own = new Random(seed * 100 + i);
                all.add(threads.submit(() -> runClient(own)));
            }
            for (Future<?> each : all) {
                each.get(2 * LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            assertEquals(List.of(), List.copyOf(violations));
            assertTrue(served.get() > 0, "some requests are served");
            alwaysRespondCorrectly = true;
            long deadline =
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
            while (!inFlightCounts().equals(new InFlightCounts(0, 0, 0, 0))) {
                assertTrue(System.nanoTime() < deadline, "still in flight: " + inFlightCounts());
                Thread.sleep(5);
            }
            // Guards against a concurrency slot that is never released: its upstream would get no
            // requests anymore.
            received.clear();
            while (received.values().stream()
                            .flatMap(Queue::stream)
                            .map(c -> c.server)
                            .distinct()
                            .count()
                    < UPSTREAMS) {
                assertTrue(System.nanoTime() < deadline, "some upstream gets no requests anymore");
                try (TestClient client = new TestClient(address)) {
                    client.exchange(TestClient.request("read", "2.0"));
                }
            }
        } finally {
            threads.shutdownNow();
            for (StubUpstream each : servers) {
                each.close();
            }
        }
    }
}
