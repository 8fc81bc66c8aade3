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
 * What the very end of the service finds: with deadlines of 0.4 s it comes 0.9 s after it was asked
 * for. What the loop reads ahead of that is forced by tasks of the loop itself, timed beside its
 * own.
 */
@Timeout(60)
class EndOfServiceTest {
    private static final StubUpstream.Script GOOD =
            StubUpstream.respondWith(StubUpstream.response("200 OK", "fine"));
    private static final long END_MILLIS = 900;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch drained = new CountDownLatch(1);
    private StubUpstream discovery;
    private Sidecar node;
    private InetSocketAddress address;

    /** Whether the system takes what is written to clients, and the connection accepted last. */
    private volatile boolean takes = true;

    private volatile NioSocketChannel accepted;

    @BeforeEach
    void begin() throws Exception {
        discovery = new StubUpstream(StubUpstream.SILENT);
    }

    private void begin(StubUpstream upstream) throws Exception {
        node = onLoop(node(upstream, null));
        address = (InetSocketAddress) node.listening().sync().channel().localAddress();
    }

    private Callable<Sidecar> node(StubUpstream upstream, InheritedListener held) throws Exception {
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
        SidecarEventLoop time =
                new SidecarEventLoop(
                        loop,
                        SystemTime.UNIX_MILLIS,
                        new SystemLog(loop.ticker()::nanoTime, System.Logger.Level.INFO));
        NioSocketFactory usual = new NioSocketFactory();
        SocketFactory sockets =
                new SocketFactory() {
                    @Override
                    public Channel newChannel() {
                        return usual.newChannel();
                    }

                    @Override
                    public ServerChannel newServerChannel() {
                        return new Listening();
                    }

                    @Override
                    public void readNow(Channel channel) {
                        usual.readNow(channel);
                    }
                };
        return () ->
                new Sidecar(
                        time,
                        sockets,
                        config,
                        RuntimeOptions.DEFAULTS,
                        SymmetricRoundRobinPolicy::new,
                        held,
                        null);
    }

    @AfterEach
    void end() throws Exception {
        loop.submit(() -> node.close()).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        discovery.close();
    }

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get();
    }

    private static void stand(CountDownLatch until) {
        try {
            assertTrue(until.await(LoopbackSidecar.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards against a request that is whole, and so taken, but not read when the end closes its
     * connection because nothing is open on it. The loop is held over the end's time; so a task
     * that was to come right ahead of the end is run together with it, and in that task the
     * request's rest is sent.
     */
    @Test
    void unreadRequestIsAnsweredAtTheEndOfADrain() throws Exception {
        CountDownLatch atTheEnd = new CountDownLatch(1);
        CountDownLatch whole = new CountDownLatch(1);
        try (StubUpstream upstream = new StubUpstream(StubUpstream.SILENT)) {
            begin(upstream);
            try (TestClient client = new TestClient(address)) {
                String request = TestClient.request("pay", "0.4");
                client.send(request.substring(0, 30));
                onLoop(
                        () -> {
                            AtomicLong end = new AtomicLong();
                            loop.schedule(
                                    () -> {
                                        while (System.nanoTime() - end.get() < 0) {
                                            Thread.onSpinWait();
                                        }
                                    },
                                    END_MILLIS - 20,
                                    TimeUnit.MILLISECONDS);
                            loop.schedule(
                                    () -> {
                                        atTheEnd.countDown();
                                        stand(whole);
                                    },
                                    END_MILLIS,
                                    TimeUnit.MILLISECONDS);
                            node.drain(drained::countDown);
                            end.set(
                                    System.nanoTime()
                                            + TimeUnit.MILLISECONDS.toNanos(END_MILLIS + 10));
                            return null;
                        });
                stand(atTheEnd);
                client.send(request.substring(30));
                whole.countDown();
                String answer = client.read();
                assertNotNull(answer, "its connection was closed");
                assertTrue(TestClient.status(answer) >= 500, answer);
                assertEquals("close", StubUpstream.header(answer, "connection"));
            }
            stand(drained);
        }
    }

    /**
     * Guards against a request lost because its last byte comes just as the end closes its
     * connection.
     */
    @Test
    void incompleteRequestIsRejectedAtTheEndOfADrainWithoutAReset() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            begin(upstream);
            try (TestClient client = new TestClient(address)) {
                String request = TestClient.request("pay", "0.4");
                client.send(request.substring(0, 30));
                onLoop(
                        () -> {
                            node.drain(drained::countDown);
                            loop.schedule(over::countDown, END_MILLIS + 1, TimeUnit.MILLISECONDS);
                            return null;
                        });
                stand(over);
                client.send(request.substring(30));
                String answer = client.read();
                assertNotNull(answer, "its connection was closed");
                assertEquals(503, TestClient.status(answer));
                assertEquals("close", StubUpstream.header(answer, "connection"));
                assertNull(client.read());
            }
            stand(drained);
            assertEquals(0, upstream.requests.size());
        }
    }

    /**
     * Guards against an answer that is cut short because it had been written when the end came,
     * though the system had taken none of it yet, as where its client reads slowly.
     */
    @Test
    void unwrittenResponseGoesOutWholeAtTheEndOfADrain() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        try (StubUpstream upstream = new StubUpstream(GOOD)) {
            begin(upstream);
            try (TestClient client = new TestClient(address)) {
                takes = false;
                client.send(TestClient.request("pay", "0.4"));
                while (accepted == null
                        || onLoop(() -> accepted.unsafe().outboundBuffer().totalPendingWriteBytes())
                                == 0) {
                    Thread.sleep(1);
                }
                onLoop(
                        () -> {
                            node.drain(drained::countDown);
                            loop.schedule(over::countDown, END_MILLIS + 1, TimeUnit.MILLISECONDS);
                            return null;
                        });
                stand(over);
                onLoop(
                        () -> {
                            takes = true;
                            accepted.unsafe().flush();
                            return null;
                        });
                assertNotNull(client.read(), "its connection was closed");
                assertNull(client.read(), "and is ended then");
            }
            stand(drained);
        }
    }

    /**
     * Guards against the end of a process that has just taken its platform's listening socket over:
     * what had connected before is told to the loop behind the end, which saw no connection.
     */
    @Test
    void connectionInTheAcceptQueueIsAnsweredWhenADrainFollowsAtOnce() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch later = new CountDownLatch(1);
        StubUpstream.Script held =
                (socket, request) -> {
                    stand(asked);
                    return GOOD.serve(socket, request);
                };
        try (ServerSocketChannel socket = ServerSocketChannel.open();
                StubUpstream upstream = new StubUpstream(held)) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .configureBlocking(false);
            try (TestClient client = new TestClient((InetSocketAddress) socket.getLocalAddress())) {
                client.send(TestClient.request("pay", "0.4"));
                Callable<Sidecar> make = node(upstream, InheritedListener.of(socket));
                onLoop(
                        () -> {
                            node = make.call();
                            node.drain(drained::countDown);
                            loop.schedule(later::countDown, 100, TimeUnit.MILLISECONDS);
                            return null;
                        });
                stand(later);
                assertEquals(1, drained.getCount(), "its process would have ended");
                asked.countDown();
                assertNotNull(client.read());
            }
            stand(drained);
        }
    }

    /** Accepts connections that write only while the system is to take something. */
    private final class Listening extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> all) throws Exception {
            SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            accepted =
                    new NioSocketChannel(this, socket) {
                        @Override
                        protected void doWrite(ChannelOutboundBuffer in) throws Exception {
                            if (takes) {
                                super.doWrite(in);
                            }
                        }
                    };
            all.add(accepted);
            return 1;
        }
    }
}
