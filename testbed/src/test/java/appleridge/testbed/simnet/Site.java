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

/** Two processes with loops: b serves HTTP or plain bytes with Netty, a asks. For tests. */
final class Site {
    static final SimLoop.Costs COSTS = new SimLoop.Costs(10_000, 2_000, 100);

    final World world;
    final SimLoop client;
    final SimLoop server;
    final List<String> heard = new ArrayList<>();
    final List<SimChannel> served = new ArrayList<>();
    SimServerChannel listener;
    int answers;

    Site(long seed, SimLoop.Costs costs) {
        world = new World(seed);
        client = new SimLoop(world.simulation, world.a, world.chance.stream("client"), costs);
        server = new SimLoop(world.simulation, world.b, world.chance.stream("server"), costs);
    }

    void end() {
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
                        .bind(World.at(2, 80));
        listener = (SimServerChannel) bound.channel();
        world.run(World.MS);
    }

    /** Answers each request with its path and body. */
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

    /** Notes all that happens on its channels. */
    void serveNoting(int backlog) {
        serve(
                backlog,
                new ChannelInitializer<SimChannel>() {
                    @Override
                    protected void initChannel(SimChannel channel) {
                        channel.pipeline().addLast(new Noting("server", heard));
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
                .connect(World.at(2, 80));
    }

    SimChannel connectNoting() {
        SimChannel channel = (SimChannel) connect(1_000, new Noting("client", heard)).channel();
        world.run(2 * World.MS);
        return channel;
    }

    /** Asks one after the other; each next one as soon as an answer is there. */
    void ask(int requests, int bodyBytes) {
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
                                                new Asking(requests, bodyBytes));
                            }
                        })
                .connect(World.at(2, 80));
    }

    private final class Asking extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int requests;
        private final int bodyBytes;
        private int asked;

        Asking(int requests, int bodyBytes) {
            this.requests = requests;
            this.bodyBytes = bodyBytes;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (answer.decoderResult().cause() instanceof PrematureChannelClosureException) {
                ctx.close();
                return;
            }
            String expected = "/" + asked + "x".repeat(bodyBytes);
            String body = answer.content().toString(StandardCharsets.US_ASCII);
            if (!body.equals(expected)) {
                throw new IllegalStateException(body + " instead of " + expected);
            }
            answers++;
            if (asked < requests) {
                ask(ctx.channel());
            } else {
                ctx.close();
            }
        }

        /** A reset is no news here. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable why) {
            if (!(why instanceof IOException || why instanceof CodecException)) {
                heard.add(why.toString());
            }
            ctx.close();
        }

        private void ask(Channel channel) {
            ByteBuf body = channel.alloc().buffer(Math.max(1, bodyBytes));
            body.writeBytes("x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII));
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + ++asked, body);
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
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            ctx.writeAndFlush(answer);
        }

        /** A reset is no news here. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable why) {
            if (!(why instanceof IOException || why instanceof CodecException)) {
                heard.add(why.toString());
            }
            ctx.close();
        }
    }

    /** Writes down what it hears. */
    static final class Noting extends ChannelInboundHandlerAdapter {
        private final String who;
        private final List<String> heard;

        Noting(String who, List<String> heard) {
            this.who = who;
            this.heard = heard;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            heard.add(who + " active");
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            heard.add(who + " reads " + ((ByteBuf) message).toString(StandardCharsets.US_ASCII));
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            heard.add(who + " writable " + ctx.channel().isWritable());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            heard.add(who + " " + event.getClass().getSimpleName());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable why) {
            heard.add(who + " " + why.getMessage());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            heard.add(who + " inactive");
        }
    }
}
