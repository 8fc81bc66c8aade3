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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that are read ahead of a discovery update. The order is forced: the loop is held still
 * while the test's discovery and clients write, and discovery's next answer waits until a request
 * has had its chance.
 */
@Timeout(60)
class CatchingUpTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
    private static final String READY = "GET /health/ready HTTP/1.1\r\n\r\n";

    /** Longer than drains allow here. */
    private static final long STILL_MILLIS = 400;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private Sidecar node;
    private InetSocketAddress address;

    private void end() throws Exception {
        if (node != null) {
            loop.submit(() -> node.close()).get();
            node = null;
        }
    }

    @AfterEach
    void endAll() throws Exception {
        end();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String pushed(String json) {
        return json.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                .replaceAll("\"askWithin\":[0-9]*,", "");
    }

    private void begin(StubUpstream discovery, UnaryOperator<String> changed, String... targets)
            throws Exception {
        LoopbackSidecar.SettingValues longWatches =
                new LoopbackSidecar.SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.SECONDS.toNanos(60));
        String json =
                changed.apply(LoopbackSidecar.json(longWatches, discovery.address(), targets))
                        .replace(
                                "\"stopSendingWithin\":2000000000",
                                "\"stopSendingWithin\":250000000");
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
                                                SymmetricRoundRobinPolicy::new))
                        .get();
        address = (InetSocketAddress) node.listening().sync().channel().localAddress();
    }

    /**
     * The loop stands still from before this returns until what it returns is counted down, and so
     * long.
     */
    private CountDownLatch standStill() throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(
                () -> {
                    begun.countDown();
                    try {
                        over.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        Thread.sleep(STILL_MILLIS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        assertTrue(begun.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return over;
    }

    private List<TestClient> clients(int many) throws Exception {
        List<TestClient> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.add(new TestClient(address));
            all.get(i).exchange(READY);
        }
        return all;
    }

    /**
     * An agent that answers with what it has, a watch when that is newer; or holds all answers
     * back.
     */
    private static final class Agent implements StubUpstream.Script {
        final BlockingQueue<Long> answered = new LinkedBlockingQueue<>();
        private String list;
        private long revision;
        private boolean holds;

        Agent(String... targets) {
            has(1, false, targets);
        }

        synchronized void has(long version, boolean holdsBack, String... targets) {
            revision = version;
            list = LoopbackSidecar.list(version, true, targets);
            holds(holdsBack);
        }

        synchronized void holds(boolean now) {
            holds = now;
            notifyAll();
        }

        @Override
        public synchronized boolean serve(Socket socket, String request)
                throws IOException, InterruptedException {
            int since = request.indexOf("since=");
            long known =
                    since < 0
                            ? 0
                            : Long.parseLong(
                                    request.substring(since + 6, request.indexOf('&', since)));
            while (holds || known >= revision) {
                wait();
            }
            StubUpstream.write(socket, StubUpstream.response("200 OK", list));
            answered.add(revision);
            return true;
        }
    }

    private InFlightCounts books() {
        try {
            return loop.submit(() -> node.inFlightCounts()).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(String what, BooleanSupplier holds) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(1);
        }
    }

    /**
     * Guards against requests that go by an answer from early in a stand-still, where lists are
     * pushed: what the agent has got after that counts as told, though no watch was open.
     */
    @Test
    void afterAStallRequestsAreDeferredUntilThePushedListHasCaughtUp() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD)) {
            String first = LoopbackSidecar.target("u0", one.address(), "Ready");
            Agent agent = new Agent(first);
            try (StubUpstream discovery = new StubUpstream(agent)) {
                begin(discovery, CatchingUpTest::pushed, first);
                while (!discovery.nextRequest().contains("since=1&")) {
                    Thread.onSpinWait();
                }
                List<TestClient> clients = clients(3);
                agent.answered.clear();
                CountDownLatch over = standStill();
                agent.has(2, false, first);
                agent.answered.take();
                agent.has(
                        3,
                        true,
                        LoopbackSidecar.target("u0", one.address(), "Terminating"),
                        LoopbackSidecar.target("u1", two.address(), "Ready"));
                for (TestClient each : clients) {
                    each.send(TestClient.request("read", "3.0"));
                }
                over.countDown();
                await(
                        "read",
                        () -> books().openRequests() == clients.size() || !one.requests.isEmpty());
                assertEquals(0, books().openAttempts(), "sent before the list is known");
                agent.holds(false);
                for (TestClient each : clients) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                assertEquals(0, one.requests.size(), "sent to who has drained since");
            }
        }
    }

    /**
     * Guards against requests that go by the list of before the start, where lists are pushed: what
     * the agent has counts as told from the first moment of a new process.
     */
    @Test
    void newProcessReadsThePushedListBeforeItsFirstRequest() throws Exception {
        // Once with an agent that answers at once, or classes that are yet to load may take all of
        // its wait.
        for (boolean heldBack : new boolean[] {false, true}) {
            try (StubUpstream one = new StubUpstream(GOOD);
                    StubUpstream two = new StubUpstream(GOOD)) {
                Agent agent = new Agent();
                agent.has(
                        2,
                        heldBack,
                        LoopbackSidecar.target("u0", one.address(), "Terminating"),
                        LoopbackSidecar.target("u1", two.address(), "Ready"));
                try (StubUpstream discovery = new StubUpstream(agent)) {
                    begin(
                            discovery,
                            CatchingUpTest::pushed,
                            LoopbackSidecar.target("u0", one.address(), "Ready"));
                    askFirst(agent, heldBack, one);
                }
                end();
            }
        }
    }

    private void askFirst(Agent agent, boolean heldBack, StubUpstream drained) throws Exception {
        try (TestClient client = new TestClient(address)) {
            client.send(TestClient.request("read", "3.0"));
            if (heldBack) {
                await("read", () -> books().openRequests() == 1 || !drained.requests.isEmpty());
                assertEquals(0, books().openAttempts(), "sent before the list is known");
                agent.holds(false);
            }
            assertEquals(200, TestClient.status(client.read()));
            assertEquals(0, drained.requests.size(), "sent to who has drained since");
        }
    }

    /**
     * Guards against requests that wait for word of the list, and are late or lost for it, where
     * there is none: the watch is still out, and what is written to it would have been read.
     */
    @Test
    void afterAStallRequestsDoNotWaitForAWatchWithoutAnUpdate() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        try (StubUpstream discovery = new StubUpstream(StubUpstream.SILENT);
                StubUpstream upstream =
                        new StubUpstream(
                                (socket, request) -> {
                                    gate.await();
                                    return GOOD.serve(socket, request);
                                })) {
            begin(discovery, json -> json, LoopbackSidecar.targets(upstream));
            assertTrue(discovery.nextRequest().contains("since=1&"));
            TestClient client = clients(1).get(0);
            CountDownLatch over = standStill();
            client.send(TestClient.request("read", "3.0"));
            over.countDown();
            InFlightCounts[] seen = new InFlightCounts[1];
            await(
                    "read",
                    () -> {
                        seen[0] = books();
                        return seen[0].openRequests() == 1;
                    });
            assertEquals(1, seen[0].openAttempts(), "sent in the turn in which it was read");
            gate.countDown();
            assertEquals(200, TestClient.status(client.read()));
            client.close();
        }
    }
}
