package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import appleridge.daemon.LoopbackSidecar;
import appleridge.daemon.StubUpstream;
import appleridge.daemon.StubUpstream.Script;
import appleridge.loadbalancing.Outcome;
import appleridge.request.Endpoint;
import appleridge.request.SendDeadlines;
import appleridge.transport.NioSocketFactory;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import appleridge.transport.SystemLog;
import appleridge.transport.SystemTime;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections reused, closed and cancelled, without the policy, which closes idle ones too. */
@Timeout(60)
class UpstreamConnectionPoolTest {
    private static final Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    private static final HttpUpstreamRequest REQUEST =
            new HttpUpstreamRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]);
    private static final SendDeadlines ALWAYS =
            new SendDeadlines(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    private record Result(Outcome outcome, HttpUpstreamResponse reply) {}

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SidecarEventLoop time =
            new SidecarEventLoop(
                    loop,
                    SystemTime.UNIX_MILLIS,
                    new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.INFO));
    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private UpstreamConnectionPool pool(long idleMillis, int connections) {
        return pool(new NioSocketFactory(), idleMillis, connections);
    }

    private UpstreamConnectionPool pool(SocketFactory sockets, long idleMillis, int connections) {
        return new UpstreamConnectionPool(
                time,
                sockets,
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.MILLISECONDS.toNanos(idleMillis),
                TimeUnit.MILLISECONDS.toNanos(200),
                connections);
    }

    private static Endpoint endpoint(long id, StubUpstream upstream) {
        return new Endpoint(id, SidecarConfig.literalAddress(upstream.address()));
    }

    private UpstreamCall send(UpstreamConnectionPool pool, Endpoint endpoint) {
        return (UpstreamCall)
                pool.send(
                        endpoint,
                        REQUEST,
                        ALWAYS,
                        (outcome, reply) ->
                                results.add(new Result(outcome, (HttpUpstreamResponse) reply)));
    }

    private UpstreamCall start(UpstreamConnectionPool pool, StubUpstream upstream)
            throws Exception {
        Endpoint endpoint = endpoint(1, upstream);
        return loop.submit(() -> send(pool, endpoint)).get();
    }

    private Result next() throws InterruptedException {
        Result result = results.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(result != null, "an outcome within the bound");
        return result;
    }

    private String ask(UpstreamConnectionPool pool, StubUpstream upstream) throws Exception {
        start(pool, upstream);
        Result result = next();
        assertEquals(Outcome.OK, result.outcome());
        return new String(result.reply().body(), StandardCharsets.US_ASCII);
    }

    @Test
    void connectionsAreReused() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            for (int i = 0; i < 5; i++) {
                ask(pool, upstream);
            }
            assertEquals(1, upstream.accepted.size());
            loop.execute(() -> pool.closeIdleConnections(endpoint(1, upstream)));
            upstream.awaitClosed();
            ask(pool, upstream);
            assertEquals(2, upstream.accepted.size());
        }
    }

    /** Guards against a request lost to a connection that its upstream is about to close. */
    @Test
    void idleConnectionIsClosedBeforeUpstreamClosesIt() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(2000, 10);
            ask(pool, upstream);
            long answered = System.nanoTime();
            upstream.awaitClosed();
            assertTrue(System.nanoTime() - answered < TimeUnit.MILLISECONDS.toNanos(2000));
        }
    }

    /** Guards against a request written to a connection whose end the upstream has announced. */
    @Test
    void connectionClosedByUpstreamIsNotReused() throws Exception {
        Script closing =
                (socket, request) -> {
                    StubUpstream.write(
                            socket, StubUpstream.response("200 OK", "fine", "Connection: close"));
                    return false;
                };
        try (StubUpstream upstream = new StubUpstream(closing)) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            for (int i = 0; i < 5; i++) {
                ask(pool, upstream);
            }
            assertEquals(5, upstream.accepted.size());
        }
    }

    /**
     * Guards against bytes behind one response being read as the next one, also where they are no
     * complete line.
     */
    @Test
    void bytesBehindResponseAreNotTakenForNextResponse() throws Exception {
        String[] noise = {StubUpstream.response("200 OK", "wrong"), "HTTP/1.1 2", "\n noise"};
        for (String behind : noise) {
            Script doubled =
                    StubUpstream.respondWith(StubUpstream.response("200 OK", "fine") + behind);
            Script next = StubUpstream.respondWith(StubUpstream.response("200 OK", "next"));
            try (StubUpstream upstream =
                    new StubUpstream(
                            StubUpstream.firstThen(new CountDownLatch(1), doubled, next))) {
                UpstreamConnectionPool pool = pool(10_000, 10);
                assertEquals("fine", ask(pool, upstream));
                assertEquals("next", ask(pool, upstream));
                assertEquals(2, upstream.accepted.size());
            }
        }
    }

    /**
     * Guards against a second copy of one response, which the system holds unread, being taken for
     * the next request's: it is written here while the loop is kept from reading.
     */
    @Test
    void bytesAfterReadResponseAreNotTakenForNextResponse() throws Exception {
        Script next = StubUpstream.respondWith(StubUpstream.response("200 OK", "next"));
        try (StubUpstream upstream =
                new StubUpstream(StubUpstream.firstThen(new CountDownLatch(1), GOOD, next))) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            assertEquals("fine", ask(pool, upstream));
            loop.submit(
                            () -> {
                                StubUpstream.write(
                                        upstream.accepted.element(),
                                        StubUpstream.response("200 OK", "wrong"));
                                Thread.sleep(50);
                                return send(pool, endpoint(1, upstream));
                            })
                    .get();
            assertEquals("next", new String(next().reply().body(), StandardCharsets.US_ASCII));
        }
    }

    /**
     * Guards against connections that pass from an upstream that has gone to one that has its
     * address.
     */
    @Test
    void connectionsAreNotSharedBetweenUpstreams() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            ask(pool, upstream);
            loop.submit(() -> send(pool, endpoint(2, upstream))).get();
            assertEquals(Outcome.OK, next().outcome());
            assertEquals(2, upstream.accepted.size());
            loop.submit(() -> pool.closeIdleConnections(endpoint(1, upstream))).get();
            upstream.awaitClosed();
            loop.submit(() -> send(pool, endpoint(2, upstream))).get();
            assertEquals(Outcome.OK, next().outcome());
            assertEquals(2, upstream.accepted.size(), "the new one's connection was left alone");
        }
    }

    /**
     * Guards against a channel that can't be made, as when descriptors are out: Netty would report
     * it on a thread of its own, and the connection would be counted for good.
     */
    @Test
    void missingSocketIsReportedOnLoopAsNeverSent() throws Exception {
        UpstreamConnectionPool pool = pool(new TestSockets.None(), 10_000, 2);
        Endpoint nowhere =
                new Endpoint(1, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        for (int i = 0; i < 5; i++) {
            BlockingQueue<String> reported = new LinkedBlockingQueue<>();
            loop.submit(
                            () ->
                                    pool.send(
                                            nowhere,
                                            REQUEST,
                                            ALWAYS,
                                            (outcome, reply) ->
                                                    reported.add(
                                                            outcome + " " + loop.inEventLoop())))
                    .get();
            assertEquals(
                    "NEVER_SENT true",
                    reported.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, loop.submit(pool::connectionCount).get());
        }
    }

    /**
     * Guards against a request given to a connection that its upstream has closed between the two
     * moments in which it came up and was reported: the request never ended. The end is read in
     * between here.
     */
    @Test
    void connectionClosedBeforeConnectIsReportedIsNotUsed() throws Exception {
        TestSockets.ConnectedAtOnce sockets = new TestSockets.ConnectedAtOnce();
        UpstreamConnectionPool pool = pool(sockets, 10_000, 2);
        try (StubUpstream upstream = new StubUpstream(StubUpstream.SILENT)) {
            loop.submit(
                            () -> {
                                send(pool, endpoint(1, upstream));
                                upstream.accepted.take().close();
                                Channel channel = sockets.made.take();
                                while (channel.isActive()) {
                                    sockets.readNow(channel);
                                }
                                return null;
                            })
                    .get();
            assertEquals(Outcome.CONNECT_FAILED, next().outcome());
            assertEquals(0, loop.submit(pool::connectionCount).get());
            assertEquals(0, upstream.requests.size());
        }
    }

    /**
     * Guards against time spent on a response that can't be served: the rest of it is not waited
     * for.
     */
    @Test
    void responseWithTooLargeLengthIsBrokenOffAtItsHead() throws Exception {
        for (String length :
                new String[] {"3000000000", "33554433", "99999999999999999999", "-1", "4, 4"}) {
            try (StubUpstream upstream =
                    new StubUpstream(
                            StubUpstream.respondWith(
                                    "HTTP/1.1 200 OK\r\nContent-Length: "
                                            + length
                                            + "\r\n\r\nfine"))) {
                UpstreamConnectionPool patient =
                        new UpstreamConnectionPool(
                                time,
                                new NioSocketFactory(),
                                TimeUnit.SECONDS.toNanos(1),
                                TimeUnit.SECONDS.toNanos(10),
                                TimeUnit.HOURS.toNanos(1),
                                10);
                start(patient, upstream);
                assertEquals(Outcome.RESET, next().outcome(), length);
            }
        }
    }

    /**
     * Guards against a response with a hole: the part that makes it too long is left out, and what
     * was read together with it, which fits again, would complete the rest.
     */
    @Test
    void responseGrowingTooLargeIsNotServedWithAHole() throws Exception {
        String answer =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk(MessageFraming.MAX_BUFFERED_BODY_BYTES - 4)
                        + chunk(10)
                        + chunk(3)
                        + "0\r\n\r\n";
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(answer))) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            for (int i = 0; i < 10; i++) {
                start(pool, upstream);
                assertEquals(Outcome.RESET, next().outcome());
            }
        }
    }

    /**
     * Guards against a head that was rejected being followed by another one that is taken for it.
     */
    @Test
    void bytesBehindUnservableHeadAreNotServed() throws Exception {
        String answer =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n"
                        + chunk(4)
                        + "0\r\n\r\n"
                        + StubUpstream.response("200 OK", "next");
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(answer))) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            start(pool, upstream);
            assertEquals(Outcome.RESET, next().outcome());
        }
    }

    private static String chunk(int length) {
        return Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n";
    }

    /** Guards against running out of descriptors: what can't be sent has never been sent. */
    @Test
    void nothingIsSentOverCapUnlessIdleConnectionIsEvicted() throws Exception {
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                StubUpstream good = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(10_000, 1);
            ask(pool, good);
            UpstreamCall held = start(pool, silent);
            silent.nextRequest();
            good.awaitClosed();
            start(pool, good);
            assertEquals(Outcome.NEVER_SENT, next().outcome());
            loop.execute(held::cancel);
            silent.awaitClosed();
            assertEquals("fine", ask(pool, good));
            assertEquals(0, results.size(), "nothing is reported of what was cancelled");
        }
    }
}
