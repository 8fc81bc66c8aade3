package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.http1.Headers;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.loadbalancing.UpstreamHost;
import appleridge.request.EndpointSubscription;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Warms up the JVM before the sidecar reports that it is ready, because the first requests of a
 * cold JVM take tens of milliseconds each. Sends requests of every class through a second {@link
 * UpstreamCluster} to a stub upstream in this process; contacts neither real upstream hosts nor
 * discovery.
 */
final class WarmUp {
    /** Beyond this number, further requests hardly speed up the next ones. */
    private static final int REQUESTS = 250;

    /** On a slow machine a short restart matters more than a complete warm-up. */
    private static final long MAX_MILLIS = 1500;

    /**
     * Small compared to the connection limits, because only a part of the allowed connections is
     * kept open between requests.
     */
    private static final int CONNECTIONS = 4;

    private static final int RESPONSE_BYTES = 256;
    private static final int MAX_MESSAGE_BYTES = 8192;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final SidecarConfig config;

    /** Filled by the event loop and by the calling thread. */
    private final Queue<Channel> channels = new ConcurrentLinkedQueue<>();

    private final CountDownLatch done = new CountDownLatch(1);
    private int sent;
    private int responses;

    private WarmUp(SidecarEventLoop loop, SocketFactory sockets, SidecarConfig config) {
        this.loop = loop;
        this.sockets = sockets;
        this.config = config;
    }

    /**
     * Warms up and closes what it opened. Blocks, so it must not be called on the event loop.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    static void run(SidecarEventLoop loop, SocketFactory sockets, SidecarConfig config)
            throws InterruptedException {
        new WarmUp(loop, sockets, config).run();
    }

    private void run() throws InterruptedException {
        InetSocketAddress anyPort = new InetSocketAddress(config.listenAddress().getAddress(), 0);
        Channel upstream = listenAsUpstream(anyPort);
        UpstreamCluster cluster =
                new UpstreamCluster(
                        loop,
                        sockets,
                        config,
                        new UpstreamCluster.ConnectionLimits(8 * CONNECTIONS, 2 * CONNECTIONS),
                        RuntimeOptions.DEFAULTS,
                        SymmetricRoundRobinPolicy::new);
        InetSocketAddress upstreamAddress = (InetSocketAddress) upstream.localAddress();
        loop.execute(
                () ->
                        cluster.coordinator.start(
                                new FixedEndpoints(),
                                List.of(readyHost(1), readyHost(2)),
                                Map.of(1L, upstreamAddress, 2L, upstreamAddress)));
        InetSocketAddress listenAddress =
                (InetSocketAddress)
                        cluster.listener.listen(anyPort).sync().channel().localAddress();
        for (int i = 0; i < CONNECTIONS; i++) {
            channels.add(connectAsClient(listenAddress));
        }
        done.await(MAX_MILLIS, TimeUnit.MILLISECONDS);
        loop.execute(
                () -> {
                    sent = REQUESTS;
                    channels.forEach(Channel::close);
                    upstream.close();
                    cluster.close();
                });
    }

    private Channel listenAsUpstream(InetSocketAddress anyPort) throws InterruptedException {
        return new ServerBootstrap()
                .group(loop.executor(), loop.executor())
                .channelFactory(sockets::newServerChannel)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channels.add(channel);
                                channel.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(MAX_MESSAGE_BYTES),
                                                new UpstreamHandler());
                            }
                        })
                .bind(anyPort)
                .sync()
                .channel();
    }

    private Channel connectAsClient(InetSocketAddress address) throws InterruptedException {
        return new Bootstrap()
                .group(loop.executor())
                .channelFactory(sockets::newChannel)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_MESSAGE_BYTES),
                                                new ClientHandler());
                            }
                        })
                .connect(address)
                .sync()
                .channel();
    }

    private static UpstreamHost readyHost(long id) {
        return new UpstreamHost(id, 0, 0, 0, HostState.READY, 1, 0);
    }

    private FullHttpRequest nextRequest() {
        int requestClass = sent % config.requestClassNames().size();
        boolean idempotent =
                config.settings().classes().get(requestClass).idempotency()
                        == Idempotency.IDEMPOTENT;
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        idempotent ? HttpMethod.GET : HttpMethod.POST,
                        "/api?warm-up",
                        Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, "warm-up")
                .set(Headers.REQUEST_ID, "warm-up-" + sent)
                .set(Headers.CLASS, config.requestClassNames().get(requestClass))
                .set(Headers.DEADLINE, "1.0")
                .set(Headers.IDEMPOTENCY_KEY, sent)
                .set(HttpHeaderNames.COOKIE, "user=7f3a9c21e0b4d655")
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return request;
    }

    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNext(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (++responses >= REQUESTS) {
                done.countDown();
            }
            sendNext(ctx);
        }

        private void sendNext(ChannelHandlerContext ctx) {
            if (sent < REQUESTS) {
                ctx.writeAndFlush(nextRequest());
                sent++;
            }
        }
    }

    private final class UpstreamHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, RESPONSE_BYTES)
                    .set(
                            Headers.LOAD,
                            config.settings().loadReportFields().stream()
                                    .map(field -> field + "=1")
                                    .collect(Collectors.joining(",")));
            ctx.writeAndFlush(response);
        }
    }

    private static final class FixedEndpoints implements EndpointSubscription {
        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchEndpoints() {}

        @Override
        public void readPendingUpdates(long stalledSinceNanos) {}
    }
}
