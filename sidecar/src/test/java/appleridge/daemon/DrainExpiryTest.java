package appleridge.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.config.SidecarConfig;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.transport.InheritedListener;
import appleridge.transport.NioSocketFactory;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import appleridge.transport.SystemLog;
import appleridge.transport.SystemTime;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The moment at which a drain expires and closes the remaining connections. With deadlines of 0.4 s
 * that is 0.9 s after the drain began. The tests force what the event loop reads before that moment
 * by tasks of their own, scheduled next to the drain's.
 */
@Timeout(60)
class DrainExpiryTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));

    /** From the begin of a drain until it expires. */
    private static final long DRAIN_MILLIS = 900;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch drained = new CountDownLatch(1);
    private StubUpstream discovery;
    private Sidecar sidecar;
    private InetSocketAddress address;

    /** Whether sockets of clients accept written bytes; false simulates a full send buffer. */
    private volatile boolean writable = true;

    /** The client connection that was accepted last. */
    private volatile NioSocketChannel acceptedChannel;

    @BeforeEach
    void begin() throws Exception {
        discovery = new StubUpstream(StubUpstream.SILENT);
    }

    private void begin(StubUpstream upstream) throws Exception {
        sidecar = onLoop(createSidecar(upstream, null));
        address = (InetSocketAddress) sidecar.listening().sync().channel().localAddress();
    }

    private Callable<Sidecar> createSidecar(StubUpstream upstream, InheritedListener inherited)
            throws Exception {
        String json =
                LoopbackSidecar.json(
                                LoopbackSidecar.SettingValues.DEFAULT,
                                discovery.address(),
                                LoopbackSidecar.targets(upstream))
                        .replaceAll("\"(slo|deadline)\":[0-9]+", "\"$1\":400000000");
        SidecarConfig config =
                SidecarConfig.parse(new ObjectMapper().readTree(json))
                        .withListenAddress(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        SidecarEventLoop sidecarLoop =
                new SidecarEventLoop(
                        loop,
                        SystemTime.UNIX_MILLIS,
                        new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.INFO));
        NioSocketFactory nioSockets = new NioSocketFactory();
        SocketFactory sockets =
                new SocketFactory() {
                    @Override
                    public Channel newChannel() {
                        return nioSockets.newChannel();
                    }

                    @Override
                    public ServerChannel newServerChannel() {
                        return new BlockableServerChannel();
                    }

                    @Override
                    public void readNow(Channel channel) {
                        nioSockets.readNow(channel);
                    }
                };
        return () ->
                new Sidecar(
                        sidecarLoop,
                        sockets,
                        config,
                        RuntimeOptions.DEFAULTS,
                        SymmetricRoundRobinPolicy::new,
                        inherited,
                        null);
    }

    @AfterEach
    void end() throws Exception {
        loop.submit(() -> sidecar.close()).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        discovery.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards against a drain that expires, finds no open request on a connection and closes it,
     * although the rest of a request has arrived there unread. Order of events: one task holds the
     * loop beyond the drain's expiry; a second task, due right before the expiry, then runs in the
     * same turn as the expiry and waits until the rest of the request has been sent. The drain must
     * read the connection before it closes it.
     */
    @Test
    void unreadRequestIsAnsweredWhenTheDrainExpires() throws Exception {
        CountDownLatch beforeExpiry = new CountDownLatch(1);
        CountDownLatch requestSent = new CountDownLatch(1);
        try (StubUpstream upstream = new StubUpstream(StubUpstream.SILENT)) {
            begin(upstream);
            try (TestClient client = new TestClient(address)) {
                String request = TestClient.request("pay", "0.4");
                client.send(request.substring(0, 30));
                onLoop(
                        () -> {
                            AtomicLong holdUntilNanos = new AtomicLong();
                            loop.schedule(
                                    () -> {
                                        while (System.nanoTime() - holdUntilNanos.get() < 0) {
                                            Thread.onSpinWait();
                                        }
                                    },
                                    DRAIN_MILLIS - 20,
                                    TimeUnit.MILLISECONDS);
                            loop.schedule(
                                    () -> {
                                        beforeExpiry.countDown();
                                        awaitLatch(requestSent);
                                    },
                                    DRAIN_MILLIS,
                                    TimeUnit.MILLISECONDS);
                            sidecar.drain(drained::countDown);
                            holdUntilNanos.set(
                                    System.nanoTime()
                                            + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS + 10));
                            return null;
                        });
                awaitLatch(beforeExpiry);
                client.send(request.substring(30));
                requestSent.countDown();
                String answer = client.read();
                assertNotNull(answer, "the connection was closed without an answer");
                assertTrue(TestClient.status(answer) >= 500, answer);
                assertEquals("close", StubUpstream.header(answer, "connection"));
            }
            awaitLatch(drained);
        }
    }

    /**
     * Guards against a request that gets no answer because its last byte arrives just when the
     * expired drain closes its connection.
     */
    @Test
    void incompleteRequestIsRejectedWithoutAResetWhenTheDrainExpires() throws Exception {
        CountDownLatch expired = new CountDownLatch(1);
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            begin(upstream);
            try (TestClient client = new TestClient(address)) {
                String request = TestClient.request("pay", "0.4");
                client.send(request.substring(0, 30));
                onLoop(
                        () -> {
                            sidecar.drain(drained::countDown);
                            loop.schedule(
                                    expired::countDown, DRAIN_MILLIS + 1, TimeUnit.MILLISECONDS);
                            return null;
                        });
                awaitLatch(expired);
                client.send(request.substring(30));
                String answer = client.read();
                assertNotNull(answer, "the connection was closed without an answer");
                assertEquals(503, TestClient.status(answer));
                assertEquals("close", StubUpstream.header(answer, "connection"));
                assertNull(client.read());
            }
            awaitLatch(drained);
            assertEquals(0, upstream.requests.size());
        }
    }

    /**
     * Guards against an answer that is cut off because it counts as written when the drain expires,
     * although the socket has accepted none of it yet, as with a client that reads slowly.
     */
    @Test
    void pendingResponseIsWrittenWholeAfterTheDrainExpires() throws Exception {
        CountDownLatch expired = new CountDownLatch(1);
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            begin(upstream);
            try (TestClient client = new TestClient(address)) {
                writable = false;
                client.send(TestClient.request("pay", "0.4"));
                while (acceptedChannel == null
                        || onLoop(
                                        () ->
                                                acceptedChannel
                                                        .unsafe()
                                                        .outboundBuffer()
                                                        .totalPendingWriteBytes())
                                == 0) {
                    Thread.sleep(1);
                }
                onLoop(
                        () -> {
                            sidecar.drain(drained::countDown);
                            loop.schedule(
                                    expired::countDown, DRAIN_MILLIS + 1, TimeUnit.MILLISECONDS);
                            return null;
                        });
                awaitLatch(expired);
                onLoop(
                        () -> {
                            writable = true;
                            acceptedChannel.unsafe().flush();
                            return null;
                        });
                assertNotNull(client.read(), "the connection was closed without an answer");
                assertNull(client.read(), "the connection is closed after the answer");
            }
            awaitLatch(drained);
        }
    }

    /**
     * Guards against a drain that follows at once on taking over an inherited listening socket. The
     * event loop learns of connections in the accept queue only after the drain has begun, so a
     * drain that counts open connections alone finds none and ends the process.
     */
    @Test
    void connectionInTheAcceptQueueIsAnsweredWhenADrainFollowsAtOnce() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch waited = new CountDownLatch(1);
        StubUpstream.Script held =
                (socket, request) -> {
                    awaitLatch(answer);
                    return GOOD.serve(socket, request);
                };
        try (ServerSocketChannel socket = ServerSocketChannel.open();
                StubUpstream upstream = new StubUpstream(held)) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .configureBlocking(false);
            try (TestClient client = new TestClient((InetSocketAddress) socket.getLocalAddress())) {
                client.send(TestClient.request("pay", "0.4"));
                Callable<Sidecar> creation = createSidecar(upstream, InheritedListener.of(socket));
                onLoop(
                        () -> {
                            sidecar = creation.call();
                            sidecar.drain(drained::countDown);
                            loop.schedule(waited::countDown, 100, TimeUnit.MILLISECONDS);
                            return null;
                        });
                awaitLatch(waited);
                assertEquals(
                        1, drained.getCount(), "drained with a connection in the accept queue");
                answer.countDown();
                assertNotNull(client.read());
            }
            awaitLatch(drained);
        }
    }

    /** Accepts connections that write nothing to the socket while {@link #writable} is false. */
    private final class BlockableServerChannel extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> messages) throws Exception {
            SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            acceptedChannel =
                    new NioSocketChannel(this, socket) {
                        @Override
                        protected void doWrite(ChannelOutboundBuffer in) throws Exception {
                            if (writable) {
                                super.doWrite(in);
                            }
                        }
                    };
            messages.add(acceptedChannel);
            return 1;
        }
    }
}
