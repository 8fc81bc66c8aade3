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
import appleridge.request.UpstreamResponse;
import appleridge.request.UpstreamTransport;
import appleridge.transport.NioSocketFactory;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import appleridge.transport.SystemLog;
import appleridge.transport.SystemTime;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The connection pool over loopback, without the load-balancing policy. */
@Timeout(60)
class UpstreamConnectionPoolTest {
    private static final BufferLimits LIMITS =
            new BufferLimits(16 << 20, 8 << 20, 8 << 20, 1 << 20);

    private static final Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    private static final HttpUpstreamRequest REQUEST =
            new HttpUpstreamRequest(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]);
    private static final SendDeadlines NO_DEADLINES =
            new SendDeadlines(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    private record Result(Outcome outcome, HttpUpstreamResponse response) {}

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final SidecarEventLoop sidecarLoop =
            new SidecarEventLoop(
                    loop,
                    SystemTime.UNIX_MILLIS,
                    new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.INFO));
    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private UpstreamConnectionPool pool(long idleMillis, int connections) {
        return pool(new NioSocketFactory(), idleMillis, connections);
    }

    private UpstreamConnectionPool pool(SocketFactory sockets, long idleMillis, int connections) {
        return new UpstreamConnectionPool(
                sidecarLoop,
                sockets,
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.MILLISECONDS.toNanos(idleMillis),
                TimeUnit.MILLISECONDS.toNanos(200),
                connections,
                BufferBudgets.of(LIMITS, sidecarLoop.log()));
    }

    private static Endpoint endpoint(long id, StubUpstream upstream) {
        return new Endpoint(id, SidecarConfig.literalAddress(upstream.address()));
    }

    private UpstreamCall send(UpstreamConnectionPool pool, Endpoint endpoint) {
        return (UpstreamCall)
                pool.send(
                        endpoint,
                        REQUEST,
                        NO_DEADLINES,
                        (outcome, response) ->
                                results.add(new Result(outcome, (HttpUpstreamResponse) response)));
    }

    private UpstreamCall start(UpstreamConnectionPool pool, StubUpstream upstream)
            throws Exception {
        Endpoint endpoint = endpoint(1, upstream);
        return loop.submit(() -> send(pool, endpoint)).get();
    }

    private Result nextResult() throws InterruptedException {
        Result result = results.poll(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(result != null, "no outcome was reported in time");
        return result;
    }

    private String sendAndGetBody(UpstreamConnectionPool pool, StubUpstream upstream)
            throws Exception {
        start(pool, upstream);
        Result result = nextResult();
        assertEquals(Outcome.OK, result.outcome());
        return new String(result.response().body(), StandardCharsets.US_ASCII);
    }

    @Test
    void connectionsAreReused() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            for (int i = 0; i < 5; i++) {
                sendAndGetBody(pool, upstream);
            }
            assertEquals(1, upstream.accepted.size());
            loop.execute(() -> pool.closeIdleConnections(endpoint(1, upstream)));
            upstream.awaitClosed();
            sendAndGetBody(pool, upstream);
            assertEquals(2, upstream.accepted.size());
        }
    }

    /** Guards against a request that is lost because the upstream closes its idle connection. */
    @Test
    void idleConnectionIsClosedBeforeUpstreamClosesIt() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(2000, 10);
            sendAndGetBody(pool, upstream);
            long answeredAtNanos = System.nanoTime();
            upstream.awaitClosed();
            assertTrue(System.nanoTime() - answeredAtNanos < TimeUnit.MILLISECONDS.toNanos(2000));
        }
    }

    /**
     * Guards against a request written to a connection that the upstream has announced to close.
     */
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
                sendAndGetBody(pool, upstream);
            }
            assertEquals(5, upstream.accepted.size());
        }
    }

    /**
     * Guards against a response that is cut off, and looks complete, because an attempt is
     * cancelled for which its connection was opened: that attempt may not begin and has left the
     * connection to others.
     */
    @Test
    void cancelledAttemptLeavesTheConnectionThatItHasNotUsed() throws Exception {
        CountDownLatch beginRefused = new CountDownLatch(1);
        CountDownLatch otherIsReading = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        Script slow =
                (socket, request) -> {
                    StubUpstream.write(socket, "HTTP/1.1 200 OK\r\n\r\nfirst ");
                    otherIsReading.countDown();
                    cancelled.await();
                    StubUpstream.write(socket, "second");
                    return false;
                };
        try (StubUpstream upstream = new StubUpstream(slow)) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            UpstreamCall waiting =
                    loop.submit(() -> sendRefusedToBegin(pool, upstream, beginRefused)).get();
            beginRefused.await();
            start(pool, upstream);
            otherIsReading.await();
            loop.submit(waiting::cancel).get();
            cancelled.countDown();
            Result result = nextResult();
            assertEquals(Outcome.OK, result.outcome());
            assertEquals(
                    "first second",
                    new String(result.response().body(), StandardCharsets.US_ASCII));
            assertEquals(1, upstream.accepted.size());
        }
    }

    /** Sends a request that may not begin once its connection is open. */
    private UpstreamCall sendRefusedToBegin(
            UpstreamConnectionPool pool, StubUpstream upstream, CountDownLatch refused) {
        return (UpstreamCall)
                pool.send(
                        endpoint(1, upstream),
                        REQUEST,
                        NO_DEADLINES,
                        new UpstreamTransport.AttemptListener() {
                            @Override
                            public boolean mayBegin(Runnable resume) {
                                loop.execute(refused::countDown);
                                return false;
                            }

                            @Override
                            public void onAttemptEnded(
                                    Outcome outcome, UpstreamResponse response) {}
                        });
    }

    /**
     * Guards against bytes after a response that are taken as the next one, even if they are not a
     * complete line.
     */
    @Test
    void bytesReadWithResponseAreNotTakenAsNextResponse() throws Exception {
        String[] trailingBytes = {
            StubUpstream.response("200 OK", "wrong"), "HTTP/1.1 2", "\n noise"
        };
        for (String trailing : trailingBytes) {
            Script withTrailingBytes =
                    StubUpstream.respondWith(StubUpstream.response("200 OK", "fine") + trailing);
            Script next = StubUpstream.respondWith(StubUpstream.response("200 OK", "next"));
            try (StubUpstream upstream =
                    new StubUpstream(
                            StubUpstream.firstThen(
                                    new CountDownLatch(1), withTrailingBytes, next))) {
                UpstreamConnectionPool pool = pool(10_000, 10);
                assertEquals("fine", sendAndGetBody(pool, upstream));
                assertEquals("next", sendAndGetBody(pool, upstream));
                assertEquals(2, upstream.accepted.size());
            }
        }
    }

    /**
     * Guards against a duplicate response, unread in the socket, that is taken as the response to
     * the next request. The test writes the duplicate while the event loop is blocked, and sends
     * the next request before the loop can read.
     */
    @Test
    void bytesArrivingAfterResponseAreNotTakenAsNextResponse() throws Exception {
        Script next = StubUpstream.respondWith(StubUpstream.response("200 OK", "next"));
        try (StubUpstream upstream =
                new StubUpstream(StubUpstream.firstThen(new CountDownLatch(1), GOOD, next))) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            assertEquals("fine", sendAndGetBody(pool, upstream));
            loop.submit(
                            () -> {
                                StubUpstream.write(
                                        upstream.accepted.element(),
                                        StubUpstream.response("200 OK", "wrong"));
                                Thread.sleep(50);
                                return send(pool, endpoint(1, upstream));
                            })
                    .get();
            assertEquals(
                    "next", new String(nextResult().response().body(), StandardCharsets.US_ASCII));
        }
    }

    /**
     * Guards against connections to a removed upstream that are used for another one with the same
     * address.
     */
    @Test
    void connectionsAreNotSharedBetweenUpstreams() throws Exception {
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            sendAndGetBody(pool, upstream);
            loop.submit(() -> send(pool, endpoint(2, upstream))).get();
            assertEquals(Outcome.OK, nextResult().outcome());
            assertEquals(2, upstream.accepted.size());
            loop.submit(() -> pool.closeIdleConnections(endpoint(1, upstream))).get();
            upstream.awaitClosed();
            loop.submit(() -> send(pool, endpoint(2, upstream))).get();
            assertEquals(Outcome.OK, nextResult().outcome());
            assertEquals(
                    2, upstream.accepted.size(), "the connection to the other upstream stays open");
        }
    }

    /**
     * Guards against a failure to create a channel, as without free file descriptors: Netty would
     * report it on another thread, and the connection would stay counted forever.
     */
    @Test
    void missingSocketIsReportedOnLoopAsNeverSent() throws Exception {
        UpstreamConnectionPool pool = pool(new TestSockets.OutOfDescriptors(), 10_000, 2);
        Endpoint unreachable =
                new Endpoint(1, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
        for (int i = 0; i < 5; i++) {
            BlockingQueue<String> reported = new LinkedBlockingQueue<>();
            loop.submit(
                            () ->
                                    pool.send(
                                            unreachable,
                                            REQUEST,
                                            NO_DEADLINES,
                                            (outcome, response) ->
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
     * Guards against a request that never ends, because the upstream closed the connection after
     * the connect completed but before it was reported. The test reads the close in between.
     */
    @Test
    void connectionClosedBeforeConnectIsReportedIsNotUsed() throws Exception {
        TestSockets.ImmediateConnect sockets = new TestSockets.ImmediateConnect();
        UpstreamConnectionPool pool = pool(sockets, 10_000, 2);
        try (StubUpstream upstream = new StubUpstream(StubUpstream.SILENT)) {
            loop.submit(
                            () -> {
                                send(pool, endpoint(1, upstream));
                                upstream.accepted.take().close();
                                Channel channel = sockets.created.take();
                                while (channel.isActive()) {
                                    sockets.readNow(channel);
                                }
                                return null;
                            })
                    .get();
            assertEquals(Outcome.CONNECT_FAILED, nextResult().outcome());
            assertEquals(0, loop.submit(pool::connectionCount).get());
            assertEquals(0, upstream.requests.size());
        }
    }

    /** Guards against waiting for the rest of a response that is too long or has a bad length. */
    @Test
    void responseWithUnacceptableLengthIsAbortedAtHead() throws Exception {
        for (String length :
                new String[] {"3000000000", "33554433", "99999999999999999999", "-1", "4, 4"}) {
            try (StubUpstream upstream =
                    new StubUpstream(
                            StubUpstream.respondWith(
                                    "HTTP/1.1 200 OK\r\nContent-Length: "
                                            + length
                                            + "\r\n\r\nfine"))) {
                UpstreamConnectionPool withoutReadTimeout =
                        new UpstreamConnectionPool(
                                sidecarLoop,
                                new NioSocketFactory(),
                                TimeUnit.SECONDS.toNanos(1),
                                TimeUnit.SECONDS.toNanos(10),
                                TimeUnit.HOURS.toNanos(1),
                                10,
                                BufferBudgets.of(LIMITS, sidecarLoop.log()));
                start(withoutReadTimeout, upstream);
                assertEquals(Outcome.RESET, nextResult().outcome(), length);
            }
        }
    }

    /**
     * Guards against a response with a gap: the part that makes it too long is dropped, and a
     * smaller part from the same read, which fits again, would complete the response.
     */
    @Test
    void responseGrowingTooLongIsNotServedWithGap() throws Exception {
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
                assertEquals(Outcome.RESET, nextResult().outcome());
            }
        }
    }

    /** Guards against a response after a rejected head that is served in its place. */
    @Test
    void bytesAfterRejectedHeadAreNotServed() throws Exception {
        String answer =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n"
                        + chunk(4)
                        + "0\r\n\r\n"
                        + StubUpstream.response("200 OK", "next");
        try (StubUpstream upstream = new StubUpstream(StubUpstream.respondWith(answer))) {
            UpstreamConnectionPool pool = pool(10_000, 10);
            start(pool, upstream);
            assertEquals(Outcome.RESET, nextResult().outcome());
        }
    }

    private static String chunk(int length) {
        return Integer.toHexString(length) + "\r\n" + "x".repeat(length) + "\r\n";
    }

    /** Guards against exceeding the connection limit, which would exhaust the file descriptors. */
    @Test
    void requestOverConnectionLimitIsNotSentUnlessIdleConnectionIsEvicted() throws Exception {
        try (StubUpstream silent = new StubUpstream(StubUpstream.SILENT);
                StubUpstream good = new StubUpstream(GOOD)) {
            UpstreamConnectionPool pool = pool(10_000, 1);
            sendAndGetBody(pool, good);
            UpstreamCall openCall = start(pool, silent);
            silent.nextRequest();
            good.awaitClosed();
            start(pool, good);
            assertEquals(Outcome.NEVER_SENT, nextResult().outcome());
            loop.execute(openCall::cancel);
            silent.awaitClosed();
            assertEquals("fine", sendAndGetBody(pool, good));
            assertEquals(0, results.size(), "a cancelled attempt reports no outcome");
        }
    }

    /** Sockets whose send buffers are far smaller than a long request. */
    private static final class SmallSendBuffers implements SocketFactory {
        private static final int SEND_BUFFER_BYTES = 4096;

        private final NioSocketFactory sockets = new NioSocketFactory();

        @Override
        public Channel newChannel() {
            Channel channel = sockets.newChannel();
            channel.config().setOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES);
            return channel;
        }

        @Override
        public ServerChannel newServerChannel() {
            return sockets.newServerChannel();
        }

        @Override
        public void readNow(Channel channel) {
            sockets.readNow(channel);
        }
    }

    /**
     * Guards against long requests that fill the memory outside the heap because upstreams do not
     * read them: the connections that have waited longest are closed, whose requests did not run.
     */
    @Test
    void requestsThatUpstreamsDoNotReadAreLimited() throws Exception {
        int requests = 45;
        try (ServerSocket notReading = new ServerSocket()) {
            notReading.setReceiveBufferSize(SmallSendBuffers.SEND_BUFFER_BYTES);
            notReading.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), requests);
            Endpoint endpoint =
                    new Endpoint(1, (InetSocketAddress) notReading.getLocalSocketAddress());
            HttpUpstreamRequest longRequest =
                    new HttpUpstreamRequest(
                            HttpMethod.POST, "/", new DefaultHttpHeaders(), new byte[64 << 10]);
            UpstreamConnectionPool pool = pool(new SmallSendBuffers(), 10_000, requests);
            for (int i = 0; i < requests; i++) {
                loop.submit(
                                () ->
                                        pool.send(
                                                endpoint,
                                                longRequest,
                                                NO_DEADLINES,
                                                (outcome, response) ->
                                                        results.add(
                                                                new Result(
                                                                        outcome,
                                                                        (HttpUpstreamResponse)
                                                                                response))))
                        .get();
            }
            assertEquals(Outcome.CONNECT_FAILED, nextResult().outcome());
            assertTrue(
                    loop.submit(pool::unsentBytes).get() <= LIMITS.unsentBytes(), "unsent bytes");
        }
    }
}
