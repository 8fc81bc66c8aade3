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
 * Requests that the event loop reads before a discovery update that arrived earlier. The tests
 * force this order: they block the event loop while discovery and clients write, and withhold
 * discovery's next response until a request has been read.
 */
@Timeout(60)
class DiscoveryCatchUpTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
    private static final String READY = "GET /health/ready HTTP/1.1\r\n\r\n";

    /** Longer than {@code stopSendingWithin}, which these tests set to 250 ms. */
    private static final long STALL_MILLIS = 400;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private Sidecar sidecar;
    private InetSocketAddress address;

    private void closeSidecar() throws Exception {
        if (sidecar != null) {
            loop.submit(() -> sidecar.close()).get();
            sidecar = null;
        }
    }

    @AfterEach
    void close() throws Exception {
        closeSidecar();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String withPushedUpdates(String json) {
        return json.replace("\"discovery\":\"subscribe\"", "\"discovery\":\"automatic\"")
                .replaceAll("\"askWithin\":[0-9]*,", "");
    }

    private void begin(
            StubUpstream discovery, UnaryOperator<String> changeConfig, String... targets)
            throws Exception {
        LoopbackSidecar.SettingValues longPolls =
                new LoopbackSidecar.SettingValues(
                        TimeUnit.SECONDS.toNanos(10), 1000, TimeUnit.SECONDS.toNanos(60));
        String json =
                changeConfig
                        .apply(LoopbackSidecar.json(longPolls, discovery.address(), targets))
                        .replace(
                                "\"stopSendingWithin\":2000000000",
                                "\"stopSendingWithin\":250000000");
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
                                                SymmetricRoundRobinPolicy::new))
                        .get();
        address = (InetSocketAddress) sidecar.listening().sync().channel().localAddress();
    }

    /**
     * Blocks the event loop. It stays blocked until the returned latch is counted down and {@link
     * #STALL_MILLIS} have passed after that.
     */
    private CountDownLatch stallLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    try {
                        release.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        Thread.sleep(STALL_MILLIS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        assertTrue(blocked.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return release;
    }

    private List<TestClient> connectClients(int count) throws Exception {
        List<TestClient> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new TestClient(address));
            all.get(i).exchange(READY);
        }
        return all;
    }

    /**
     * A discovery agent. It answers a long poll once its list is newer than the one that the poll
     * names, and can withhold all responses.
     */
    private static final class StubAgent implements StubUpstream.Script {
        final BlockingQueue<Long> sentRevisions = new LinkedBlockingQueue<>();
        private String list;
        private long revision;
        private boolean withholding;

        StubAgent(String... targets) {
            setList(1, false, targets);
        }

        synchronized void setList(long newRevision, boolean withhold, String... targets) {
            revision = newRevision;
            list = LoopbackSidecar.list(newRevision, true, targets);
            withhold(withhold);
        }

        synchronized void withhold(boolean on) {
            withholding = on;
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
            while (withholding || known >= revision) {
                wait();
            }
            StubUpstream.write(socket, StubUpstream.response("200 OK", list));
            sentRevisions.add(revision);
            return true;
        }
    }

    private InFlightCounts inFlightCounts() {
        try {
            return loop.submit(() -> sidecar.inFlightCounts()).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(String failure, BooleanSupplier condition) throws Exception {
        long timeoutAtNanos =
                System.nanoTime() + TimeUnit.SECONDS.toNanos(LoopbackSidecar.TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < timeoutAtNanos, "timed out: " + failure);
            Thread.sleep(1);
        }
    }

    /**
     * Guards against requests after a stall that use the list as it was early in the stall. With
     * pushed updates, a list counts as known once the agent has it, even if no long poll was open
     * to deliver it. Order of events: the loop stalls; the agent answers the open poll; then a host
     * drains, while requests wait unread.
     */
    @Test
    void afterAStallRequestsAreDeferredUntilThePushedListHasCaughtUp() throws Exception {
        try (StubUpstream one = new StubUpstream(GOOD);
                StubUpstream two = new StubUpstream(GOOD)) {
            String first = LoopbackSidecar.target("u0", one.address(), "Ready");
            StubAgent agent = new StubAgent(first);
            try (StubUpstream discovery = new StubUpstream(agent)) {
                begin(discovery, DiscoveryCatchUpTest::withPushedUpdates, first);
                while (!discovery.nextRequest().contains("since=1&")) {
                    Thread.onSpinWait();
                }
                List<TestClient> clients = connectClients(3);
                agent.sentRevisions.clear();
                CountDownLatch releaseLoop = stallLoop();
                agent.setList(2, false, first);
                agent.sentRevisions.take();
                agent.setList(
                        3,
                        true,
                        LoopbackSidecar.target("u0", one.address(), "Terminating"),
                        LoopbackSidecar.target("u1", two.address(), "Ready"));
                for (TestClient each : clients) {
                    each.send(TestClient.request("read", "3.0"));
                }
                releaseLoop.countDown();
                await(
                        "the requests were not read",
                        () ->
                                inFlightCounts().openRequests() == clients.size()
                                        || !one.requests.isEmpty());
                assertEquals(
                        0, inFlightCounts().openAttempts(), "sent before the latest list is known");
                agent.withhold(false);
                for (TestClient each : clients) {
                    assertEquals(200, TestClient.status(each.read()));
                    each.close();
                }
                assertEquals(0, one.requests.size(), "sent to the drained host");
            }
        }
    }

    /**
     * Guards against requests of a new process that use the list cached before its start. With
     * pushed updates, the agent's list counts as known from the first moment.
     */
    @Test
    void newProcessReadsThePushedListBeforeItsFirstRequest() throws Exception {
        // The first pass, with an agent that responds at once, loads classes: that could otherwise
        // use up the time for which the request waits.
        for (boolean withheld : new boolean[] {false, true}) {
            try (StubUpstream one = new StubUpstream(GOOD);
                    StubUpstream two = new StubUpstream(GOOD)) {
                StubAgent agent = new StubAgent();
                agent.setList(
                        2,
                        withheld,
                        LoopbackSidecar.target("u0", one.address(), "Terminating"),
                        LoopbackSidecar.target("u1", two.address(), "Ready"));
                try (StubUpstream discovery = new StubUpstream(agent)) {
                    begin(
                            discovery,
                            DiscoveryCatchUpTest::withPushedUpdates,
                            LoopbackSidecar.target("u0", one.address(), "Ready"));
                    sendFirstRequest(agent, withheld, one);
                }
                closeSidecar();
            }
        }
    }

    private void sendFirstRequest(StubAgent agent, boolean withheld, StubUpstream drained)
            throws Exception {
        try (TestClient client = new TestClient(address)) {
            client.send(TestClient.request("read", "3.0"));
            if (withheld) {
                await(
                        "the requests were not read",
                        () -> inFlightCounts().openRequests() == 1 || !drained.requests.isEmpty());
                assertEquals(
                        0, inFlightCounts().openAttempts(), "sent before the latest list is known");
                agent.withhold(false);
            }
            assertEquals(200, TestClient.status(client.read()));
            assertEquals(0, drained.requests.size(), "sent to the drained host");
        }
    }

    /**
     * Guards against requests that wait for a discovery update after a stall although there is
     * none, and are late or fail for it. The long poll is still open, and an update written to it
     * would have been read.
     */
    @Test
    void afterAStallRequestsDoNotWaitForALongPollWithoutAnUpdate() throws Exception {
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
            TestClient client = connectClients(1).get(0);
            CountDownLatch releaseLoop = stallLoop();
            client.send(TestClient.request("read", "3.0"));
            releaseLoop.countDown();
            InFlightCounts[] counts = new InFlightCounts[1];
            await(
                    "the request was not read",
                    () -> {
                        counts[0] = inFlightCounts();
                        return counts[0].openRequests() == 1;
                    });
            assertEquals(1, counts[0].openAttempts(), "sent in the turn of the loop that read it");
            gate.countDown();
            assertEquals(200, TestClient.status(client.read()));
            client.close();
        }
    }
}
