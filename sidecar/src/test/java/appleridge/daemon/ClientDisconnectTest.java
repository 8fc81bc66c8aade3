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
 * What waits when its client leaves is not sent on: for each way of waiting, and for each way of
 * leaving. The order of events is forced by upstreams that answer when they are told to, and by a
 * loop that is held still.
 */
@Timeout(60)
class ClientDisconnectTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
    private static final String READY = "GET /health/ready HTTP/1.1\r\n\r\n";

    /** Each in turn: one client or a burst of them, that end their connection or reset it. */
    private static final List<Leaving> WAYS =
            List.of(
                    new Leaving(1, false),
                    new Leaving(1, true),
                    new Leaving(8, false),
                    new Leaving(8, true));

    /** How many clients leave, and how. */
    private record Leaving(int clients, boolean resets) {
        void leave(List<TestClient> all) throws IOException {
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
    private Sidecar node;
    private InetSocketAddress address;

    /**
     * Where not null, each request costs the policy some time, and the first one waits for this.
     */
    private volatile CountDownLatch turnGoesOn;

    private volatile CountDownLatch turnBegun;

    @AfterEach
    void end() throws Exception {
        if (node != null) {
            closeNode();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void closeNode() throws Exception {
        loop.submit(() -> node.close()).get();
        node = null;
    }

    private void begin(StubUpstream discovery, UnaryOperator<String> changed, String... targets)
            throws Exception {
        String json =
                changed.apply(
                        LoopbackSidecar.json(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                discovery.address(),
                                targets));
        SidecarConfig config =
                SidecarConfig.parse(new ObjectMapper().readTree(json))
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        SidecarEventLoop time =
                new SidecarEventLoop(
                        loop,
                        SystemTime.UNIX_MILLIS,
                        new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.INFO));
        node =
                loop.submit(
                                () ->
                                        new Sidecar(
                                                time,
                                                new NioSocketFactory(),
                                                config,
                                                RuntimeOptions.DEFAULTS,
                                                (settings, seed, actions) ->
                                                        slow(
                                                                new SymmetricRoundRobinPolicy(
                                                                        settings, seed, actions))))
                        .get();
        address = (InetSocketAddress) node.listening().sync().channel().localAddress();
    }

    private <T> T onLoop(Callable<T> what) {
        try {
            return loop.submit(what).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private InFlightCounts books() {
        return onLoop(() -> node.inFlightCounts());
    }

    private static void await(String what, BooleanSupplier holds) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(1);
        }
    }

    private List<TestClient> ask(int many, String requestClass) throws Exception {
        List<TestClient> clients = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            TestClient client = new TestClient(address);
            client.send(TestClient.request(requestClass, "3.0"));
            clients.add(client);
        }
        return clients;
    }

    /**
     * What is asked after all others have left, and not refused, is the next that the upstream
     * gets.
     */
    private void nothingIsSentBefore(String last, StubUpstream upstream) throws Exception {
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

    private static StubUpstream.Script after(CountDownLatch gate) {
        return (socket, request) -> {
            gate.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return GOOD.serve(socket, request);
        };
    }

    /** Guards against work in vain: a queued request ends with its client's connection. */
    @Test
    void queuedRequestOfADisconnectedClientIsNotSent() throws Exception {
        for (Leaving way : WAYS) {
            CountDownLatch gate = new CountDownLatch(1);
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream upstream = new StubUpstream(after(gate))) {
                begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                List<TestClient> busy = ask(2, "read");
                upstream.nextRequest();
                upstream.nextRequest();
                List<TestClient> leaving = ask(way.clients, "read");
                await("held", () -> books().openRequests() == 2 + way.clients);
                assertEquals(2, books().openAttempts());
                way.leave(leaving);
                await("gone", () -> books().openRequests() == 2);
                gate.countDown();
                for (TestClient each : busy) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                nothingIsSentBefore("last", upstream);
                closeNode();
            }
        }
    }

    /** Guards against a request of the same connection that waits behind one that is out. */
    @Test
    void pipelinedRequestOfADisconnectedClientIsNotSent() throws Exception {
        for (Leaving way : WAYS) {
            CountDownLatch gate = new CountDownLatch(1);
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream upstream = new StubUpstream(after(gate))) {
                begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                List<TestClient> busy = ask(1, "read");
                upstream.nextRequest();
                List<TestClient> leaving = ask(1, "read");
                upstream.nextRequest();
                for (int i = 1; i < way.clients; i++) {
                    leaving.addAll(ask(1, "read"));
                }
                for (TestClient each : leaving) {
                    each.send(TestClient.request("read", "3.0"));
                }
                await("held", () -> books().openRequests() == 1 + 2 * way.clients);
                way.leave(leaving);
                await("gone", () -> books().openRequests() == 1 && books().openAttempts() == 1);
                gate.countDown();
                assertEquals(200, TestClient.status(busy.get(0).read()));
                busy.get(0).close();
                nothingIsSentBefore("last", upstream);
                closeNode();
            }
        }
    }

    /**
     * Guards against a further attempt for nobody: the first one fails, and the second waits for
     * room.
     */
    @Test
    void retryForADisconnectedClientIsNotSent() throws Exception {
        for (Leaving way : new Leaving[] {new Leaving(1, false), new Leaving(1, true)}) {
            CountDownLatch gate = new CountDownLatch(1);
            CountDownLatch fails = new CountDownLatch(1);
            StubUpstream.Script error =
                    (socket, request) -> {
                        fails.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        StubUpstream.write(
                                socket, StubUpstream.response("500 Internal Server Error", ""));
                        return true;
                    };
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream full = new StubUpstream(after(gate));
                    StubUpstream failing =
                            new StubUpstream(
                                    StubUpstream.firstThen(new CountDownLatch(1), error, GOOD))) {
                begin(discovery, json -> json, LoopbackSidecar.targets(full, failing));
                List<TestClient> busy = new ArrayList<>();
                TestClient leaves = null;
                // Whichever each one comes to: two fill the one, and one is to fail at the other.
                while (full.requests.size() < 2 || leaves == null) {
                    int before = failing.requests.size();
                    TestClient client = ask(1, "read").get(0);
                    int out = busy.size() + (leaves == null ? 0 : 1) + 1;
                    await("sent", () -> full.requests.size() + failing.requests.size() == out);
                    if (leaves == null && failing.requests.size() > before) {
                        leaves = client;
                    } else {
                        busy.add(client);
                    }
                }
                int open = busy.size() + 1;
                assertEquals(open, books().openAttempts());
                int atFailing = failing.requests.size();
                fails.countDown();
                await("failed", () -> books().openAttempts() < open);
                way.leave(List.of(leaves));
                await("gone", () -> books().openRequests() < open);
                gate.countDown();
                for (TestClient each : busy) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                assertEquals(2, full.requests.size(), "and no further attempt");
                assertEquals(atFailing, failing.requests.size());
                closeNode();
            }
        }
    }

    /**
     * Guards against an attempt that is sent when its connection comes up, long after its client
     * has left: also where the settings allow no cancelling, for of this one nothing has gone out.
     */
    @Test
    void connectingAttemptOfADisconnectedClientIsNotSent() throws Exception {
        for (String cancels : new String[] {"true", "false"}) {
            for (Leaving way : new Leaving[] {new Leaving(1, false), new Leaving(1, true)}) {
                try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                        ServerSocket full =
                                new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    List<Socket> waiting = fill(full);
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
                    await("connecting", () -> onLoop(() -> node.upstreamConnectionCount()) == 1);
                    way.leave(List.of(client));
                    await(
                            "its client has left, and it still connects",
                            () -> onLoop(() -> node.upstreamConnectionCount()) == 0);
                    assertEquals(0, books().trackedRequests());
                    for (Socket each : waiting) {
                        each.close();
                    }
                    closeNode();
                }
            }
        }
    }

    /**
     * The same where both come while the loop stands still, and the connection is read ahead of the
     * end: a late loop looks for those who have left before it writes.
     */
    @Test
    void connectCompletingDuringAStallIsNotUsedForADisconnectedClient() throws Exception {
        for (Leaving way : new Leaving[] {new Leaving(1, false), new Leaving(1, true)}) {
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                final List<Socket> waiting = fill(full);
                begin(
                        discovery,
                        ClientDisconnectTest::patient,
                        LoopbackSidecar.target("u0", "127.0.0.1:" + full.getLocalPort(), "Ready"));
                TestClient client = new TestClient(address);
                client.send(TestClient.request("read", "60.0"));
                await("connecting", () -> onLoop(() -> node.upstreamConnectionCount()) == 1);
                CountDownLatch left = standStill(320);
                Socket up = takeAllBut(full, waiting);
                way.leave(List.of(client));
                left.countDown();
                assertNothingIsSent(up);
                closeNode();
            }
        }
    }

    /**
     * Guards against a drain that is told while the loop stands still, and read behind the
     * connection.
     */
    @Test
    void connectCompletingAfterDrainUpdateIsNotUsed() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        CountDownLatch told = new CountDownLatch(1);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String endpoint = "127.0.0.1:" + full.getLocalPort();
            StubUpstream.Script drain =
                    (socket, request) -> {
                        drains.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        StubUpstream.write(
                                socket,
                                StubUpstream.response(
                                        "200 OK",
                                        LoopbackSidecar.list(
                                                2,
                                                false,
                                                LoopbackSidecar.target(
                                                        "u0", endpoint, "Terminating"))));
                        told.countDown();
                        return true;
                    };
            try (StubUpstream discovery =
                    new StubUpstream(
                            StubUpstream.firstThen(
                                    new CountDownLatch(1), drain, StubUpstream.SILENT))) {
                final List<Socket> waiting = fill(full);
                begin(
                        discovery,
                        json ->
                                patient(json)
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
                    await("connecting", () -> onLoop(() -> node.upstreamConnectionCount()) == 1);
                    CountDownLatch over = standStill(320);
                    Socket up = takeAllBut(full, waiting);
                    drains.countDown();
                    assertTrue(told.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                    over.countDown();
                    assertNothingIsSent(up);
                    assertEquals(
                            503,
                            TestClient.status(client.read()),
                            "it never ran: no other is there");
                }
                closeNode();
            }
        }
    }

    /** Connections and clients are waited for much longer than it takes for one to come up. */
    private static String patient(String json) {
        return json.replace("\"connectTimeout\":500000000", "\"connectTimeout\":60000000000")
                .replace("\"deadline\":3000000000", "\"deadline\":60000000000");
    }

    /** Takes what waits, and the first connection behind that. */
    private static Socket takeAllBut(ServerSocket listener, List<Socket> waiting)
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

    private static void assertNothingIsSent(Socket up) throws IOException {
        up.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LoopbackSidecar.TIMEOUT_SECONDS));
        assertEquals(null, StubUpstream.readMessage(up.getInputStream()));
        up.close();
    }

    /** Connects until the system takes no more. */
    private static List<Socket> fill(ServerSocket listener) throws IOException {
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
     * Guards against a request that is read ahead of its connection's end: both waited while the
     * loop stood still, for longer than a client's leaving may go unnoticed, though for no longer
     * than half a second.
     */
    @Test
    void requestReadAfterAStallIsNotSentForADisconnectedClient() throws Exception {
        for (long still : new long[] {130, 320, 700}) {
            for (Leaving way : WAYS) {
                try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                        StubUpstream upstream = new StubUpstream(GOOD)) {
                    begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                    List<TestClient> clients = new ArrayList<>();
                    for (int i = 0; i < way.clients; i++) {
                        TestClient client = new TestClient(address);
                        assertEquals(503, TestClient.status(client.exchange(READY)));
                        clients.add(client);
                    }
                    CountDownLatch left = standStill(still);
                    for (TestClient each : clients) {
                        each.send(TestClient.request("read", "3.0"));
                    }
                    way.leave(clients);
                    left.countDown();
                    await("gone", () -> onLoop(() -> node.clientConnectionCount()) == 0);
                    nothingIsSentBefore("last", upstream);
                    closeNode();
                }
            }
        }
    }

    /**
     * Guards against what comes behind a new connection's first request, all of it sent at once and
     * its client gone: as much as the first, it may have waited until the connection was accepted.
     * The loop is held too shortly to be late, and an idle connection to the upstream takes what is
     * sent at once.
     */
    @Test
    void firstRequestOfADisconnectedClientIsNotSent() throws Exception {
        for (Leaving way : WAYS) {
            try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                    StubUpstream upstream = new StubUpstream(GOOD)) {
                begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
                try (TestClient before = ask(1, "read").get(0)) {
                    assertEquals(200, TestClient.status(before.read()));
                    upstream.nextRequest();
                }
                await("gone", () -> onLoop(() -> node.clientConnectionCount()) == 0);
                CountDownLatch left = standStill(0);
                List<TestClient> leaving = ask(way.clients, "read");
                for (TestClient each : leaving) {
                    each.send(
                            TestClient.request("read", "3.0") + TestClient.request("read", "3.0"));
                }
                way.leave(leaving);
                left.countDown();
                nothingIsSentBefore("last", upstream);
                closeNode();
            }
        }
    }

    /**
     * The same for what lets a request go on: the answers that make room for those that are held
     * come while the loop stands still, and then their clients leave.
     */
    @Test
    void queuedRequestIsNotSentWhenCapacityCameDuringAStall() throws Exception {
        for (long still : new long[] {130, 320}) {
            for (Leaving way : WAYS) {
                roomComesWhileTheLoopStandsStill(still, way);
            }
        }
    }

    private void roomComesWhileTheLoopStandsStill(long still, Leaving way) throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(2);
        StubUpstream.Script script =
                (socket, request) -> {
                    after(gate).serve(socket, request);
                    answered.countDown();
                    return true;
                };
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream = new StubUpstream(script)) {
            begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
            List<TestClient> busy = ask(2, "read");
            upstream.nextRequest();
            upstream.nextRequest();
            List<TestClient> leaving = ask(way.clients, "read");
            await("held", () -> books().openRequests() == 2 + way.clients);
            CountDownLatch left = standStill(still);
            gate.countDown();
            assertTrue(answered.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            way.leave(leaving);
            left.countDown();
            for (TestClient each : busy) {
                assertEquals(200, TestClient.status(each.read()));
                each.close();
            }
            await("gone", () -> books().openRequests() == 0);
            nothingIsSentBefore("last", upstream);
            closeNode();
        }
    }

    /**
     * The same where the loop never stands still and yet comes late to what it reads: one turn is
     * long, for each of many requests costs some time in it. In that turn comes what makes room,
     * and the end of who waits for the room behind it.
     */
    @Test
    void queuedRequestIsNotSentWhenCapacityCameLateInALongTurn() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            CountDownLatch gate = new CountDownLatch(1);
            CountDownLatch answered = new CountDownLatch(2);
            StubUpstream.Script script =
                    (socket, request) -> {
                        boolean waits = "busy".equals(StubUpstream.header(request, "x-name"));
                        (waits ? after(gate) : GOOD).serve(socket, request);
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
                await("sent", () -> upstream.requests.size() == many.size() + busy.size());
                TestClient leaving = new TestClient(address);
                leaving.send(TestClient.request("read", "3.0", "X-Name: gone"));
                await("held", () -> books().openRequests() == 3);
                assertEquals(2, books().openAttempts());
                turnBegun = new CountDownLatch(1);
                turnGoesOn = new CountDownLatch(1);
                CountDownLatch asked = standStill(0);
                for (TestClient each : many) {
                    each.send(TestClient.request("read", "0.001"));
                }
                asked.countDown();
                assertTrue(turnBegun.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                gate.countDown();
                assertTrue(answered.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
                new Leaving(1, resets).leave(List.of(leaving));
                turnGoesOn.countDown();
                for (TestClient each : busy) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                for (TestClient each : many) {
                    each.read();
                    each.close();
                }
                await("gone", () -> books().trackedRequests() == 0);
                for (String each : upstream.requests) {
                    assertNotEquals("gone", StubUpstream.header(each, "x-name"), each);
                }
                turnGoesOn = null;
                closeNode();
            }
        }
    }

    /** A policy that takes its time over each request, as on an overloaded machine. */
    private LoadBalancingPolicy slow(LoadBalancingPolicy module) {
        return (LoadBalancingPolicy)
                Proxy.newProxyInstance(
                        LoadBalancingPolicy.class.getClassLoader(),
                        new Class<?>[] {LoadBalancingPolicy.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("onRequest") && turnGoesOn != null) {
                                turnBegun.countDown();
                                stand(turnGoesOn, 90);
                            }
                            return method.invoke(module, arguments);
                        });
    }

    /**
     * The loop stands still from before this returns until what it returns is counted down, and so
     * long.
     */
    private CountDownLatch standStill(long millis) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(
                () -> {
                    begun.countDown();
                    stand(over, millis);
                });
        assertTrue(begun.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return over;
    }

    /** Holds the loop until all have left, and for so many milliseconds at least. */
    private static void stand(CountDownLatch left, long millis) {
        try {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
            left.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Thread.sleep(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
