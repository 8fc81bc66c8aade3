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
 * Upstreams that end requests in every way that a socket knows, and clients that leave at any time:
 * what comes to the upstreams and to the clients is held against the rules, and at the end nothing
 * may be left open.
 */
@Timeout(120)
class RandomEndingsTest {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 6;
    private static final int REQUESTS = 40;
    private static final String[] CLASSES = {"read", "write", "hold", "pay", "pay"};

    /** How an upstream ends a request. */
    private enum Ending {
        GOOD,
        GOOD_BUT_LAST,
        GOOD_THEN_END,
        COPY_BEHIND,
        NOISE_BEHIND,
        INTERIM,
        ERROR,
        TURNED_AWAY,
        SAYS_NOT_ZERO,
        NOISE,
        RESET,
        END,
        HALF_A_HEAD,
        HALF_A_BODY,
        PAUSE,
        SILENCE,
        NO_LENGTH_AND_RESET,
        HALF_A_REFUSAL
    }

    /** A request as it came whole to an upstream. */
    private static final class Came {
        final int server;
        volatile boolean neverRan;

        Came(int server) {
            this.server = server;
        }
    }

    private final Map<String, Queue<Came>> came = new ConcurrentHashMap<>();
    private final Queue<String> broken = new ConcurrentLinkedQueue<>();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean calm;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private Sidecar node;
    private InetSocketAddress address;

    @AfterEach
    void end() throws Exception {
        loop.submit(() -> node.close()).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void begin(boolean sparse, StubUpstream discovery, String... targets) throws Exception {
        String json =
                LoopbackSidecar.json(
                        LoopbackSidecar.SettingValues.DEFAULT, discovery.address(), targets);
        if (sparse) {
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
        SidecarEventLoop time =
                new SidecarEventLoop(
                        loop,
                        SystemTime.UNIX_MILLIS,
                        new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.WARNING));
        node =
                loop.submit(
                                () ->
                                        new Sidecar(
                                                time,
                                                new NioSocketFactory(),
                                                config,
                                                RuntimeOptions.DEFAULTS,
                                                SymmetricRoundRobinPolicy::new))
                        .get();
        address = (InetSocketAddress) node.listening().sync().channel().localAddress();
    }

    private InFlightCounts books() throws Exception {
        return loop.submit(() -> node.inFlightCounts()).get();
    }

    private boolean serve(int server, Socket socket, String request, Random random)
            throws IOException, InterruptedException {
        String id = StubUpstream.header(request, "x-request-id");
        String kind = StubUpstream.header(request, "x-class");
        Came mine = new Came(server);
        Queue<Came> all = came.computeIfAbsent(id, any -> new ConcurrentLinkedQueue<>());
        for (Came earlier : all) {
            boolean allowed =
                    switch (kind) {
                        case "pay" -> false;
                        case "hold" -> earlier.server % 2 == server % 2;
                        default -> true;
                    };
            if (!earlier.neverRan && !allowed) {
                broken.add("sent again: " + kind + " " + id);
            }
        }
        Ending ending;
        int millis;
        synchronized (random) {
            ending =
                    calm || random.nextInt(3) == 0
                            ? Ending.GOOD
                            : Ending.values()[random.nextInt(Ending.values().length)];
            millis = random.nextInt(20);
        }
        // Ahead of the response that says so, and of the retry that it allows.
        mine.neverRan = ending == Ending.TURNED_AWAY;
        all.add(mine);
        Thread.sleep(millis);
        return say(ending, socket, StubUpstream.response("200 OK", id), id);
    }

    private static boolean say(Ending ending, Socket socket, String good, String id)
            throws IOException, InterruptedException {
        String word =
                switch (ending) {
                    case GOOD, GOOD_THEN_END -> good;
                    case GOOD_BUT_LAST -> StubUpstream.response("200 OK", id, "Connection: close");
                    case COPY_BEHIND -> good + good;
                    case NOISE_BEHIND -> good + "\u0000noise";
                    case INTERIM -> "HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\n" + good;
                    case ERROR ->
                            StubUpstream.response("500 Internal Server Error", "", "X-Not-Run: 1");
                    case TURNED_AWAY ->
                            StubUpstream.response("503 Service Unavailable", "", "X-Not-Run: 1");
                    case SAYS_NOT_ZERO ->
                            StubUpstream.response("503 Service Unavailable", "", "X-Not-Run: 0");
                    case NOISE -> "\u0000\u0001 noise\r\n\r\n";
                    case HALF_A_HEAD -> good.substring(0, 12);
                    case HALF_A_BODY, PAUSE -> good.substring(0, good.length() - 1);
                    case NO_LENGTH_AND_RESET -> "HTTP/1.1 200 OK\r\n\r\n" + id;
                    case HALF_A_REFUSAL ->
                            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
                                    + "Content-Length: 4\r\n\r\nno";
                    case RESET, END, SILENCE -> "";
                };
        StubUpstream.write(socket, word);
        return switch (ending) {
            case GOOD_BUT_LAST, GOOD_THEN_END, END, HALF_A_BODY -> false;
            case RESET, HALF_A_HEAD, NO_LENGTH_AND_RESET, HALF_A_REFUSAL ->
                    StubUpstream.reset(socket);
            case PAUSE -> {
                Thread.sleep(400);
                StubUpstream.write(socket, good.substring(good.length() - 1));
                yield true;
            }
            default -> true;
        };
    }

    private void ask(Random random) {
        try {
            TestClient client = new TestClient(address);
            for (int i = 0; i < REQUESTS; i++) {
                String kind = CLASSES[random.nextInt(CLASSES.length)];
                String text = TestClient.request(kind, "0." + (1 + random.nextInt(9)));
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
                judge(kind, StubUpstream.header(text, "x-request-id"), client.read());
            }
            client.close();
        } catch (IOException e) {
            broken.add("a client's connection broke: " + e);
        } catch (Exception e) {
            broken.add(e.toString());
        }
    }

    private void judge(String kind, String id, String answer) {
        if (answer == null) {
            broken.add("no answer: " + kind + " " + id);
            return;
        }
        int status = TestClient.status(answer);
        boolean ran =
                came.getOrDefault(id, new ConcurrentLinkedQueue<>()).stream()
                        .anyMatch(each -> !each.neverRan);
        if (status == 200 && !TestClient.body(answer).equals(id)) {
            broken.add("another's answer: " + kind + " " + id + ": " + answer);
        }
        if ((status == 429 || status == 503)
                && ran
                && (kind.equals("pay") || kind.equals("hold"))) {
            broken.add("refused though it may have run: " + kind + " " + id);
        }
        served.addAndGet(status == 200 ? 1 : 0);
    }

    /**
     * Guards against an effect twice, an answer that is another's, and what is open or out for
     * good. Even seeds have another customer's settings: two tries, no cancelling, short deadlines
     * and windows.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void rulesHoldAndNothingIsLeftOpen(long seed) throws Exception {
        Random random = new Random(seed);
        List<StubUpstream> servers = new ArrayList<>();
        String[] targets = new String[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            int server = i;
            servers.add(
                    new StubUpstream((socket, request) -> serve(server, socket, request, random)));
            targets[i] =
                    LoopbackSidecar.target("u" + i, servers.get(i).address(), "Ready")
                            .replace("\"az\":\"a\"", i % 2 == 0 ? "\"az\":\"a\"" : "\"az\":\"b\"");
        }
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT)) {
            begin(seed % 2 == 0, discovery, targets);
            List<Future<?>> all = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Random own = new Random(seed * 100 + i);
                all.add(threads.submit(() -> ask(own)));
            }
            for (Future<?> each : all) {
                each.get(2 * LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            assertEquals(List.of(), List.copyOf(broken));
            assertTrue(served.get() > 0, "most of this is trouble, and some is served");
            calm = true;
            long until =
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
            while (!books().equals(new InFlightCounts(0, 0, 0, 0))) {
                assertTrue(System.nanoTime() < until, "left open: " + books());
                Thread.sleep(5);
            }
            // A place that was never given back would shut its server's room for good.
            came.clear();
            while (came.values().stream()
                            .flatMap(Queue::stream)
                            .map(c -> c.server)
                            .distinct()
                            .count()
                    < SERVERS) {
                assertTrue(System.nanoTime() < until, "some server is not asked any more");
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
