package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.http1.ClientTimeouts;
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
 * Sends requests of every class through a second set of the same parts, to an upstream of its own
 * inside this process, before the sidecar says that it is ready. Danger: the first requests of a
 * cold JVM take tens of milliseconds each, on a core that has none to spare. No real upstream and
 * no discovery is touched.
 */
final class WarmUp {
    /** Where the measured time of a request stops falling steeply. */
    private static final int REQUESTS = 250;

    /** A slow core goes into service less warm, but soon: a restart is waited for. */
    private static final long LONGEST_MILLIS = 1500;

    /**
     * Connections; few beside what may be open, for only a part of that is kept between requests.
     */
    private static final int AT_ONCE = 4;

    private static final int BODY = 256;
    private static final int LARGEST = 8192;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final SidecarConfig config;

    /** Filled by the loop and by who waits for it. */
    private final Queue<Channel> channels = new ConcurrentLinkedQueue<>();

    private final CountDownLatch done = new CountDownLatch(1);
    private int sent;
    private int answered;

    private WarmUp(SidecarEventLoop loop, SocketFactory sockets, SidecarConfig config) {
        this.loop = loop;
        this.sockets = sockets;
        this.config = config;
    }

    /** Blocks until warm, so never to be called on the loop. */
    static void run(SidecarEventLoop loop, SocketFactory sockets, SidecarConfig config)
            throws InterruptedException {
        new WarmUp(loop, sockets, config).run();
    }

    private void run() throws InterruptedException {
        InetSocketAddress anyPort = new InetSocketAddress(config.listenAddress().getAddress(), 0);
        Channel upstream =
                new ServerBootstrap()
                        .group(loop.executor(), loop.executor())
                        .channelFactory(sockets::listening)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channels.add(channel);
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(LARGEST),
                                                        new Upstreams());
                                    }
                                })
                        .bind(anyPort)
                        .sync()
                        .channel();
        UpstreamCluster service =
                new UpstreamCluster(
                        loop,
                        sockets,
                        config,
                        new UpstreamCluster.Size(8 * AT_ONCE, 2 * AT_ONCE),
                        ClientTimeouts.USUAL,
                        SymmetricRoundRobinPolicy::new);
        InetSocketAddress to = (InetSocketAddress) upstream.localAddress();
        loop.execute(
                () ->
                        service.exchanges.start(
                                new NoLists(),
                                List.of(upstream(1), upstream(2)),
                                Map.of(1L, to, 2L, to)));
        InetSocketAddress address =
                (InetSocketAddress) service.server.listen(anyPort).sync().channel().localAddress();
        for (int i = 0; i < AT_ONCE; i++) {
            channels.add(client(address));
        }
        done.await(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
        loop.execute(
                () -> {
                    sent = REQUESTS;
                    channels.forEach(Channel::close);
                    upstream.close();
                    service.close();
                });
    }

    private Channel client(InetSocketAddress address) throws InterruptedException {
        return new Bootstrap()
                .group(loop.executor())
                .channelFactory(sockets::connecting)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(LARGEST),
                                                new Clients());
                            }
                        })
                .connect(address)
                .sync()
                .channel();
    }

    private static UpstreamHost upstream(long id) {
        return new UpstreamHost(id, 0, 0, 0, HostState.READY, 1, 0);
    }

    private FullHttpRequest request() {
        int requestClass = sent % config.requestClassNames().size();
        boolean safe =
                config.settings().classes().get(requestClass).idempotency()
                        == Idempotency.IDEMPOTENT;
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        safe ? HttpMethod.GET : HttpMethod.POST,
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

    private final class Clients extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            next(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (++answered >= REQUESTS) {
                done.countDown();
            }
            next(ctx);
        }

        private void next(ChannelHandlerContext ctx) {
            if (sent < REQUESTS) {
                ctx.writeAndFlush(request());
                sent++;
            }
        }
    }

    private final class Upstreams extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.OK,
                            Unpooled.wrappedBuffer(new byte[BODY]));
            answer.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, BODY)
                    .set(
                            Headers.LOAD,
                            config.settings().loadReportFields().stream()
                                    .map(field -> field + "=1")
                                    .collect(Collectors.joining(",")));
            ctx.writeAndFlush(answer);
        }
    }

    private static final class NoLists implements EndpointSubscription {
        @Override
        public void subscribe(boolean on) {}

        @Override
        public void fetchEndpoints() {}

        @Override
        public void readPendingUpdates() {}
    }
}
