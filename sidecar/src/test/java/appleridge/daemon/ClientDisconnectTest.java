package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import appleridge.loadbalancing.LoadBalancingPolicy;
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
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A request that waits when its client disconnects is not sent to an upstream: for each way of
 * waiting, and for each way of disconnecting. The tests force the order of events with upstreams
 * that respond when a latch opens and with a blocked event loop.
 */
@Timeout(60)
class ClientDisconnectTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
    private static final String READY = "GET /health/ready HTTP/1.1\r\n\r\n";

    /** One client or a burst of clients, which close their connections or reset them. */
    private static final List<Disconnect> DISCONNECTS =
            List.of(
                    new Disconnect(1, false),
                    new Disconnect(1, true),
                    new Disconnect(8, false),
                    new Disconnect(8, true));

    /** How many clients disconnect, and how. */
    private record Disconnect(int clients, boolean resets) {
        void apply(List<TestClient> all) throws IOException {
            for (TestClient each : all) {
                if (resets) {
                    each.socket.setSoLinger(true, 0);
                }
                each.close();
            }
        }
    }

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private Sidecar sidecar;
    private InetSocketAddress address;

    /**
     * If not null, the policy takes time for each request, and waits for this latch at the first.
     */
    private volatile CountDownLatch continueTurn;

    private volatile CountDownLatch turnStarted;

    @AfterEach
    void end() throws Exception {
        if (sidecar != null) {
            closeSidecar();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void closeSidecar() throws Exception {
        loop.submit(() -> sidecar.close()).get();
        sidecar = null;
    }

    private void begin(
            StubUpstream discovery, UnaryOperator<String> changeConfig, String... targets)
            throws Exception {
        String json =
                changeConfig.apply(
                        LoopbackSidecar.json(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                discovery.address(),
                                targets));
        SidecarConfig config =
                SidecarConfig.parse(new ObjectMapper().readTree(json))
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        SidecarEventLoop sidecarLoop =
                new SidecarEventLoop(
                        loop,
                        SystemTime.UNIX_MILLIS,
                        new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.INFO));
        sidecar =
                loop.submit(
                                () ->
                                        new Sidecar(
                                                sidecarLoop,
                                                new NioSocketFactory(),
                                                config,
                                                RuntimeOptions.DEFAULTS,
                                                (settings, seed, actions) ->
                                                        slowPolicy(
                                                                new SymmetricRoundRobinPolicy(
                                                                        settings, seed, actions))))
                        .get();
        address = (InetSocketAddress) sidecar.listening().sync().channel().localAddress();
    }

    private <T> T onLoop(Callable<T> task) {
        try {
            return loop.submit(task).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private InFlightCounts inFlightCounts() {
        return onLoop(() -> sidecar.inFlightCounts());
    }

    private static void await(String failure, BooleanSupplier condition) throws Exception {
        long timeoutAtNanos =
                System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < timeoutAtNanos, "timed out: " + failure);
            Thread.sleep(1);
        }
    }

    private List<TestClient> sendFromNewClients(int count, String requestClass) throws Exception {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TestClient client = new TestClient(address);
            client.send(TestClient.request(requestClass, "3.0"));
            clients.add(client);
        }
        return clients;
    }

    /**
     * Asserts that the upstream receives no request before one that is sent now, after all other
     * clients have disconnected. The request is repeated while it is rejected.
     */
    private void assertNothingSentBefore(String last, StubUpstream upstream) throws Exception {
        try (TestClient client = new TestClient(address)) {
            String answer = client.exchange(TestClient.request("read", "3.0", "X-Name: " + last));
            while (TestClient.status(answer) == 503) {
                answer = client.exchange(TestClient.request("read", "3.0", "X-Name: " + last));
            }
            assertEquals(200, TestClient.status(answer), answer);
        }
        assertEquals(last, StubUpstream.header(upstream.nextRequest(), "x-name"));
        assertEquals(0, upstream.requests.size());
    }

    private static StubUpstream.Script respondAfter(CountDownLatch gate) {
        return (socket, request) -> {
            gate.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return GOOD.serve(socket, request);
        };
    }

    /** Guards against a queued request that is sent after its client has disconnected. */
    @Test
    void queuedRequestOfADisconnectedClientIsNotSent() throws Exception {
        for (Disconnect disconnect : DISCONNECTS) {
            CountDownLatch gate = new CountDownLatch(1);
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream upstream = new StubUpstream(respondAfter(gate))) {
                begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                List<TestClient> busy = sendFromNewClients(2, "read");
                upstream.nextRequest();
                upstream.nextRequest();
                List<TestClient> disconnecting = sendFromNewClients(disconnect.clients, "read");
                await(
                        "the requests are not queued",
                        () -> inFlightCounts().openRequests() == 2 + disconnect.clients);
                assertEquals(2, inFlightCounts().openAttempts());
                disconnect.apply(disconnecting);
                await(
                        "the disconnected client still counts",
                        () -> inFlightCounts().openRequests() == 2);
                gate.countDown();
                for (TestClient each : busy) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                assertNothingSentBefore("last", upstream);
                closeSidecar();
            }
        }
    }

    /** Guards against a request that waits behind an open request of the same connection. */
    @Test
    void pipelinedRequestOfADisconnectedClientIsNotSent() throws Exception {
        for (Disconnect disconnect : DISCONNECTS) {
            CountDownLatch gate = new CountDownLatch(1);
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream upstream = new StubUpstream(respondAfter(gate))) {
                begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                List<TestClient> busy = sendFromNewClients(1, "read");
                upstream.nextRequest();
                List<TestClient> disconnecting = sendFromNewClients(1, "read");
                upstream.nextRequest();
                for (int i = 1; i < disconnect.clients; i++) {
                    disconnecting.addAll(sendFromNewClients(1, "read"));
                }
                for (TestClient each : disconnecting) {
                    each.send(TestClient.request("read", "3.0"));
                }
                await(
                        "the requests are not queued",
                        () -> inFlightCounts().openRequests() == 1 + 2 * disconnect.clients);
                disconnect.apply(disconnecting);
                await(
                        "the disconnected client still counts",
                        () ->
                                inFlightCounts().openRequests() == 1
                                        && inFlightCounts().openAttempts() == 1);
                gate.countDown();
                assertEquals(200, TestClient.status(busy.get(0).read()));
                busy.get(0).close();
                assertNothingSentBefore("last", upstream);
                closeSidecar();
            }
        }
    }

    /**
     * Guards against a retry without a client. Order of events: the first attempt fails, the retry
     * waits for capacity, then the client disconnects.
     */
    @Test
    void retryForADisconnectedClientIsNotSent() throws Exception {
        for (Disconnect disconnect :
                new Disconnect[] {new Disconnect(1, false), new Disconnect(1, true)}) {
            CountDownLatch gate = new CountDownLatch(1);
            CountDownLatch failFirst = new CountDownLatch(1);
            StubUpstream.Script error =
                    (socket, request) -> {
                        failFirst.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        StubUpstream.write(
                                socket, StubUpstream.response("500 Internal Server Error", ""));
                        return true;
                    };
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream full = new StubUpstream(respondAfter(gate));
                    StubUpstream failing =
                            new StubUpstream(
                                    StubUpstream.firstThen(new CountDownLatch(1), error, GOOD))) {
                begin(discovery, json -> json, LoopbackSidecar.targets(full, failing));
                List<TestClient> busy = new ArrayList<>();
                TestClient failingClient = null;
                // The policy chooses the host of each request. Send until two requests fill one
                // host
                // and the other host has one request, which is to fail.
                while (full.requests.size() < 2 || failingClient == null) {
                    int before = failing.requests.size();
                    TestClient client = sendFromNewClients(1, "read").get(0);
                    int attemptCount = busy.size() + (failingClient == null ? 0 : 1) + 1;
                    await(
                            "the request was not sent",
                            () -> full.requests.size() + failing.requests.size() == attemptCount);
                    if (failingClient == null && failing.requests.size() > before) {
                        failingClient = client;
                    } else {
                        busy.add(client);
                    }
                }
                int open = busy.size() + 1;
                assertEquals(open, inFlightCounts().openAttempts());
                int atFailing = failing.requests.size();
                failFirst.countDown();
                await(
                        "the first attempt has not failed",
                        () -> inFlightCounts().openAttempts() < open);
                disconnect.apply(List.of(failingClient));
                await(
                        "the disconnected client still counts",
                        () -> inFlightCounts().openRequests() < open);
                gate.countDown();
                for (TestClient each : busy) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                assertEquals(2, full.requests.size(), "no further attempt");
                assertEquals(atFailing, failing.requests.size());
                closeSidecar();
            }
        }
    }

    /**
     * Guards against an attempt that is sent once its connection is established, long after its
     * client has disconnected. That holds even if the settings do not allow cancelling, because no
     * byte of this attempt has been sent.
     */
    @Test
    void connectingAttemptOfADisconnectedClientIsNotSent() throws Exception {
        for (String cancels : new String[] {"true", "false"}) {
            for (Disconnect disconnect :
                    new Disconnect[] {new Disconnect(1, false), new Disconnect(1, true)}) {
                try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                        ServerSocket full =
                                new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    List<Socket> waiting = fillAcceptQueue(full);
                    begin(
                            discovery,
                            json ->
                                    json.replace("\"mayCancel\":true", "\"mayCancel\":" + cancels)
                                            .replace(
                                                    "\"connectTimeout\":500000000",
                                                    "\"connectTimeout\":60000000000")
                                            .replace(
                                                    "\"deadline\":3000000000",
                                                    "\"deadline\":60000000000"),
                            LoopbackSidecar.target(
                                    "u0", "127.0.0.1:" + full.getLocalPort(), "Ready"));
                    TestClient client = new TestClient(address);
                    client.send(TestClient.request("read", "60.0"));
                    await(
                            "no connect attempt",
                            () -> onLoop(() -> sidecar.upstreamConnectionCount()) == 1);
                    disconnect.apply(List.of(client));
                    await(
                            "the attempt still connects after its client has disconnected",
                            () -> onLoop(() -> sidecar.upstreamConnectionCount()) == 0);
                    assertEquals(0, inFlightCounts().trackedRequests());
                    for (Socket each : waiting) {
                        each.close();
                    }
                    closeSidecar();
                }
            }
        }
    }

    /**
     * The same if both events arrive while the event loop is blocked and the established connection
     * is read before the disconnect: after a stall the loop checks for disconnected clients before
     * it writes.
     */
    @Test
    void connectCompletingDuringAStallIsNotUsedForADisconnectedClient() throws Exception {
        for (Disconnect disconnect :
                new Disconnect[] {new Disconnect(1, false), new Disconnect(1, true)}) {
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                final List<Socket> waiting = fillAcceptQueue(full);
                begin(
                        discovery,
                        ClientDisconnectTest::withLongTimeouts,
                        LoopbackSidecar.target("u0", "127.0.0.1:" + full.getLocalPort(), "Ready"));
                TestClient client = new TestClient(address);
                client.send(TestClient.request("read", "60.0"));
                await(
                        "no connect attempt",
                        () -> onLoop(() -> sidecar.upstreamConnectionCount()) == 1);
                CountDownLatch releaseLoop = stallLoop(320);
                Socket accepted = acceptOtherThan(full, waiting);
                disconnect.apply(List.of(client));
                releaseLoop.countDown();
                assertNothingIsSent(accepted);
                closeSidecar();
            }
        }
    }

    /**
     * Guards against an attempt to a draining host. Order of events: while the event loop is
     * blocked, the connection is established and discovery reports that the host drains; the loop
     * then reads the connection first.
     */
    @Test
    void connectCompletingAfterDrainUpdateIsNotUsed() throws Exception {
        CountDownLatch sendUpdate = new CountDownLatch(1);
        CountDownLatch updateSent = new CountDownLatch(1);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String endpoint = "127.0.0.1:" + full.getLocalPort();
            StubUpstream.Script drain =
                    (socket, request) -> {
                        sendUpdate.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        StubUpstream.write(
                                socket,
                                StubUpstream.response(
                                        "200 OK",
                                        LoopbackSidecar.list(
                                                2,
                                                false,
                                                LoopbackSidecar.target(
                                                        "u0", endpoint, "Terminating"))));
                        updateSent.countDown();
                        return true;
                    };
            try (StubUpstream discovery =
                    new StubUpstream(
                            StubUpstream.firstThen(
                                    new CountDownLatch(1), drain, StubUpstream.SILENT))) {
                final List<Socket> waiting = fillAcceptQueue(full);
                begin(
                        discovery,
                        json ->
                                withLongTimeouts(json)
                                        .replace(
                                                "\"stopSendingWithin\":2000000000",
                                                "\"stopSendingWithin\":250000000")
                                        .replace(
                                                "\"askWithin\":1000000000",
                                                "\"askWithin\":60000000000"),
                        LoopbackSidecar.target("u0", endpoint, "Ready"));
                discovery.nextRequest();
                try (TestClient client = new TestClient(address)) {
                    client.send(TestClient.request("read", "60.0"));
                    await(
                            "no connect attempt",
                            () -> onLoop(() -> sidecar.upstreamConnectionCount()) == 1);
                    CountDownLatch releaseLoop = stallLoop(320);
                    Socket accepted = acceptOtherThan(full, waiting);
                    sendUpdate.countDown();
                    assertTrue(updateSent.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                    releaseLoop.countDown();
                    assertNothingIsSent(accepted);
                    assertEquals(
                            503,
                            TestClient.status(client.read()),
                            "the request never ran, and there is no other host");
                }
                closeSidecar();
            }
        }
    }

    /** Sets a connect timeout and a deadline that no test reaches. */
    private static String withLongTimeouts(String json) {
        return json.replace("\"connectTimeout\":500000000", "\"connectTimeout\":60000000000")
                .replace("\"deadline\":3000000000", "\"deadline\":60000000000");
    }

    /** Accepts the filling connections and returns the first other one. */
    private static Socket acceptOtherThan(ServerSocket listener, List<Socket> waiting)
            throws IOException {
        List<Integer> known = waiting.stream().map(Socket::getLocalPort).toList();
        listener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        while (true) {
            Socket next = listener.accept();
            if (!known.contains(next.getPort())) {
                return next;
            }
            next.close();
        }
    }

    private static void assertNothingIsSent(Socket accepted) throws IOException {
        accepted.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        assertEquals(null, StubUpstream.readMessage(accepted.getInputStream()));
        accepted.close();
    }

    /** Fills the accept queue: connects until a connect attempt times out. */
    private static List<Socket> fillAcceptQueue(ServerSocket listener) throws IOException {
        List<Socket> all = new ArrayList<>();
        while (true) {
            Socket socket = new Socket();
            try {
                socket.connect(listener.getLocalSocketAddress(), 200);
                all.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                return all;
            }
        }
    }

    /**
     * Guards against a request that the event loop reads before its client's disconnect, when both
     * arrived while the loop was blocked. Each time exceeds one more of the limits of {@code
     * EventLoopStallGuard}: 80 ms for a disconnect to go unnoticed, 150 ms for a late loop, and
     * half a second for a stall.
     */
    @Test
    void requestReadAfterAStallIsNotSentForADisconnectedClient() throws Exception {
        for (long stallMillis : new long[] {130, 320, 700}) {
            for (Disconnect disconnect : DISCONNECTS) {
                try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                        StubUpstream upstream = new StubUpstream(GOOD)) {
                    begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                    List<TestClient> clients = new ArrayList<>();
                    for (int i = 0; i < disconnect.clients; i++) {
                        TestClient client = new TestClient(address);
                        assertEquals(503, TestClient.status(client.exchange(READY)));
                        clients.add(client);
                    }
                    CountDownLatch releaseLoop = stallLoop(stallMillis);
                    for (TestClient each : clients) {
                        each.send(TestClient.request("read", "3.0"));
                    }
                    disconnect.apply(clients);
                    releaseLoop.countDown();
                    await(
                            "the disconnected client still counts",
                            () -> onLoop(() -> sidecar.clientConnectionCount()) == 0);
                    assertNothingSentBefore("last", upstream);
                    closeSidecar();
                }
            }
        }
    }

    /**
     * Guards against the pipelined requests of a new connection whose client sends all of them at
     * once and disconnects: like the first request, they may have waited until the connection was
     * accepted. The event loop is blocked too briefly to be late, and an idle upstream connection
     * would take a request at once.
     */
    @Test
    void firstRequestOfADisconnectedClientIsNotSent() throws Exception {
        for (Disconnect disconnect : DISCONNECTS) {
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream upstream = new StubUpstream(GOOD)) {
                begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                try (TestClient before = sendFromNewClients(1, "read").get(0)) {
                    assertEquals(200, TestClient.status(before.read()));
                    upstream.nextRequest();
                }
                await(
                        "the disconnected client still counts",
                        () -> onLoop(() -> sidecar.clientConnectionCount()) == 0);
                CountDownLatch releaseLoop = stallLoop(0);
                List<TestClient> disconnecting = sendFromNewClients(disconnect.clients, "read");
                for (TestClient each : disconnecting) {
                    each.send(
                            TestClient.request("read", "3.0") + TestClient.request("read", "3.0"));
                }
                disconnect.apply(disconnecting);
                releaseLoop.countDown();
                assertNothingSentBefore("last", upstream);
                closeSidecar();
            }
        }
    }

    /**
     * The same for a queued request: while the event loop is blocked, the responses arrive that
     * free capacity for it, and then its client disconnects.
     */
    @Test
    void queuedRequestIsNotSentWhenCapacityCameDuringAStall() throws Exception {
        for (long stallMillis : new long[] {130, 320}) {
            for (Disconnect disconnect : DISCONNECTS) {
                testCapacityDuringAStall(stallMillis, disconnect);
            }
        }
    }

    private void testCapacityDuringAStall(long stallMillis, Disconnect disconnect)
            throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(2);
        StubUpstream.Script script =
                (socket, request) -> {
                    respondAfter(gate).serve(socket, request);
                    answered.countDown();
                    return true;
                };
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream = new StubUpstream(script)) {
            begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
            List<TestClient> busy = sendFromNewClients(2, "read");
            upstream.nextRequest();
            upstream.nextRequest();
            List<TestClient> disconnecting = sendFromNewClients(disconnect.clients, "read");
            await(
                    "the requests are not queued",
                    () -> inFlightCounts().openRequests() == 2 + disconnect.clients);
            CountDownLatch releaseLoop = stallLoop(stallMillis);
            gate.countDown();
            assertTrue(answered.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            disconnect.apply(disconnecting);
            releaseLoop.countDown();
            for (TestClient each : busy) {
                assertEquals(200, TestClient.status(each.read()));
                each.close();
            }
            await(
                    "the disconnected client still counts",
                    () -> inFlightCounts().openRequests() == 0);
            assertNothingSentBefore("last", upstream);
            closeSidecar();
        }
    }

    /**
     * The same without a blocked loop: one turn of the loop is long, because each of many requests
     * takes some time in it. During that turn the responses arrive that free capacity, followed by
     * the disconnect of the client whose request waits for the capacity.
     */
    @Test
    void queuedRequestIsNotSentWhenCapacityCameLateInALongTurn() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            CountDownLatch gate = new CountDownLatch(1);
            CountDownLatch answered = new CountDownLatch(2);
            StubUpstream.Script script =
                    (socket, request) -> {
                        boolean waits = "busy".equals(StubUpstream.header(request, "x-name"));
                        (waits ? respondAfter(gate) : GOOD).serve(socket, request);
                        if (waits) {
                            answered.countDown();
                        }
                        return true;
                    };
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream upstream = new StubUpstream(script)) {
                begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                List<TestClient> many = new ArrayList<>();
                for (int i = 0; i < 6; i++) {
                    many.add(new TestClient(address));
                    assertEquals(
                            200,
                            TestClient.status(
                                    many.get(i).exchange(TestClient.request("read", "3.0"))));
                }
                List<TestClient> busy = new ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    busy.add(new TestClient(address));
                    busy.get(i).send(TestClient.request("read", "3.0", "X-Name: busy"));
                }
                await(
                        "the requests were not sent",
                        () -> upstream.requests.size() == many.size() + busy.size());
                TestClient disconnecting = new TestClient(address);
                disconnecting.send(TestClient.request("read", "3.0", "X-Name: gone"));
                await("the requests are not queued", () -> inFlightCounts().openRequests() == 3);
                assertEquals(2, inFlightCounts().openAttempts());
                turnStarted = new CountDownLatch(1);
                continueTurn = new CountDownLatch(1);
                CountDownLatch releaseLoop = stallLoop(0);
                for (TestClient each : many) {
                    each.send(TestClient.request("read", "0.001"));
                }
                releaseLoop.countDown();
                assertTrue(turnStarted.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                gate.countDown();
                assertTrue(answered.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                new Disconnect(1, resets).apply(List.of(disconnecting));
                continueTurn.countDown();
                for (TestClient each : busy) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                for (TestClient each : many) {
                    each.read();
                    each.close();
                }
                await(
                        "the disconnected client still counts",
                        () -> inFlightCounts().trackedRequests() == 0);
                for (String each : upstream.requests) {
                    assertNotEquals("gone", StubUpstream.header(each, "x-name"), each);
                }
                continueTurn = null;
                closeSidecar();
            }
        }
    }

    /** Wraps a policy so that it takes time for each request, as on an overloaded machine. */
    private LoadBalancingPolicy slowPolicy(LoadBalancingPolicy policy) {
        return (LoadBalancingPolicy)
                Proxy.newProxyInstance(
                        LoadBalancingPolicy.class.getClassLoader(),
                        new Class<?>[] {LoadBalancingPolicy.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("onRequest") && continueTurn != null) {
                                turnStarted.countDown();
                                block(continueTurn, 90);
                            }
                            return method.invoke(policy, arguments);
                        });
    }

    /**
     * Blocks the event loop. It stays blocked until the returned latch is counted down, and at
     * least for the given time.
     */
    private CountDownLatch stallLoop(long millis) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    block(release, millis);
                });
        assertTrue(blocked.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return release;
    }

    /** Blocks the calling thread until the latch opens, and at least for the given time. */
    private static void block(CountDownLatch latch, long millis) {
        try {
            long earliestEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
            latch.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Thread.sleep(
                    Math.max(
                            1,
                            TimeUnit.NANOSECONDS.toMillis(earliestEndNanos - System.nanoTime())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
