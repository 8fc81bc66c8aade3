package appleridge.testbed.simnet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.PrematureChannelClosureException;
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
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Two Netty processes for tests: the server on b serves HTTP or raw bytes, the client is on a. */
final class NettyPair {
    static final SimLoop.Costs COSTS = new SimLoop.Costs(10_000, 2_000, 100);

    final TwoHosts world;
    final SimLoop client;
    final SimLoop server;
    final List<String> events = new ArrayList<>();
    final List<SimChannel> served = new ArrayList<>();
    SimServerChannel listener;
    int responses;

    NettyPair(long seed, SimLoop.Costs costs) {
        world = new TwoHosts(seed);
        client = new SimLoop(world.simulation, world.a, world.chance.stream("client"), costs);
        server = new SimLoop(world.simulation, world.b, world.chance.stream("server"), costs);
    }

    void stop() {
        client.die();
        server.die();
    }

    void serve(int backlog, ChannelInitializer<SimChannel> children) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(server)
                        .channelFactory(server.serverFactory())
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SimChannel>() {
                                    @Override
                                    protected void initChannel(SimChannel channel) {
                                        served.add(channel);
                                        channel.pipeline().addLast(children);
                                    }
                                })
                        .bind(TwoHosts.at(2, 80));
        listener = (SimServerChannel) bound.channel();
        world.run(TwoHosts.MS);
    }

    /** Serves HTTP; echoes the path and body of each request. */
    void serveHttp() {
        serve(
                100,
                new ChannelInitializer<SimChannel>() {
                    @Override
                    protected void initChannel(SimChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(1 << 20),
                                        new Echo());
                    }
                });
    }

    /** Serves raw bytes; records the events of its channels. */
    void serveRecording(int backlog) {
        serve(
                backlog,
                new ChannelInitializer<SimChannel>() {
                    @Override
                    protected void initChannel(SimChannel channel) {
                        channel.pipeline().addLast(new RecordingHandler("server", events));
                    }
                });
    }

    ChannelFuture connect(int timeoutMillis, ChannelInboundHandlerAdapter... handlers) {
        return new Bootstrap()
                .group(client)
                .channelFactory(client.socketFactory())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SimChannel>() {
                            @Override
                            protected void initChannel(SimChannel channel) {
                                channel.pipeline().addLast(handlers);
                            }
                        })
                .connect(TwoHosts.at(2, 80));
    }

    SimChannel connectRecording() {
        SimChannel channel =
                (SimChannel) connect(1_000, new RecordingHandler("client", events)).channel();
        world.run(2 * TwoHosts.MS);
        return channel;
    }

    /** Sends requests on one connection, each after the response to the one before. */
    void sendRequests(int requests, int bodyBytes) {
        new Bootstrap()
                .group(client)
                .channelFactory(client.socketFactory())
                .handler(
                        new ChannelInitializer<SimChannel>() {
                            @Override
                            protected void initChannel(SimChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(1 << 20),
                                                new RequestSender(requests, bodyBytes));
                            }
                        })
                .connect(TwoHosts.at(2, 80));
    }

    private final class RequestSender extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int requests;
        private final int bodyBytes;
        private int sent;

        RequestSender(int requests, int bodyBytes) {
            this.requests = requests;
            this.bodyBytes = bodyBytes;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNext(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (response.decoderResult().cause() instanceof PrematureChannelClosureException) {
                ctx.close();
                return;
            }
            String expected = "/" + sent + "x".repeat(bodyBytes);
            String body = response.content().toString(StandardCharsets.US_ASCII);
            if (!body.equals(expected)) {
                throw new IllegalStateException("response body " + body + ", expected " + expected);
            }
            responses++;
            if (sent < requests) {
                sendNext(ctx.channel());
            } else {
                ctx.close();
            }
        }

        /** Resets are expected; any other exception is recorded. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable why) {
            if (!(why instanceof IOException || why instanceof CodecException)) {
                events.add(why.toString());
            }
            ctx.close();
        }

        private void sendNext(Channel channel) {
            ByteBuf body = channel.alloc().buffer(Math.max(1, bodyBytes));
            body.writeBytes("x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII));
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + ++sent, body);
            request.headers()
                    .set(HttpHeaderNames.HOST, "b")
                    .set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
            channel.writeAndFlush(request);
        }
    }

    private final class Echo extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ByteBuf body = ctx.alloc().buffer();
            ByteBufUtil.writeAscii(body, request.uri());
            body.writeBytes(request.content());
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            ctx.writeAndFlush(response);
        }

        /** Resets are expected; any other exception is recorded. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable why) {
            if (!(why instanceof IOException || why instanceof CodecException)) {
                events.add(why.toString());
            }
            ctx.close();
        }
    }

    /** Records the events of a channel. */
    static final class RecordingHandler extends ChannelInboundHandlerAdapter {
        private final String who;
        private final List<String> events;

        RecordingHandler(String who, List<String> events) {
            this.who = who;
            this.events = events;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            events.add(who + " active");
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            events.add(who + " reads " + ((ByteBuf) message).toString(StandardCharsets.US_ASCII));
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            events.add(who + " writable " + ctx.channel().isWritable());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            events.add(who + " " + event.getClass().getSimpleName());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable why) {
            events.add(who + " " + why.getMessage());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            events.add(who + " inactive");
        }
    }
}
