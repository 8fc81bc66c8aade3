package appleridge.testbed.coordination;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** One client's connection and the one to the server that it stands for. */
final class RelayLink {
    private static final int CONNECT_MILLIS = 5000;

    private final Relay relay;
    private final Conversation conversation = new Conversation();
    private final Channel client;
    private final Way toClient;
    private final Way toServer = new Way(null);
    private Channel server;

    RelayLink(Relay relay, Channel client) {
        this.relay = relay;
        this.client = client;
        this.toClient = new Way(client);
        client.pipeline()
                .addLast(
                        new Frames(),
                        new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
                                asked(frame);
                            }

                            @Override
                            public void channelInactive(ChannelHandlerContext ctx) {
                                close();
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                reset();
                            }
                        });
    }

    void connect(InetSocketAddress to) {
        new Bootstrap()
                .group(relay.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(new Frames())
                .connect(to)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                reset();
                                return;
                            }
                            connected(((ChannelFuture) done).channel());
                        });
    }

    private void connected(Channel channel) {
        server = channel;
        channel.pipeline()
                .addLast(
                        new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
                                answered(frame);
                            }

                            @Override
                            public void channelInactive(ChannelHandlerContext ctx) {
                                toClient.end();
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                reset();
                            }
                        });
        if (client.isActive()) {
            toServer.to = channel;
            toServer.pass();
        } else {
            channel.close();
        }
    }

    private void asked(ByteBuf frame) {
        if (frame.readableBytes() == Integer.BYTES
                && frame.getInt(frame.readerIndex()) == Frames.IS_READ_ONLY) {
            client.writeAndFlush(
                    Unpooled.copiedBuffer(
                            relay.readOnly() ? "ro" : "rw", StandardCharsets.US_ASCII));
            return;
        }
        conversation.asks(frame);
        toServer.take(frame.retain(), List.of());
    }

    private void answered(ByteBuf frame) {
        if (conversation.beforeFirstAnswer() && relay.readOnly()) {
            frame.setByte(frame.writerIndex() - 1, 1);
        }
        toClient.take(frame.retain(), conversation.answers(frame));
    }

    long session() {
        return conversation.session();
    }

    /** What was kept back goes on. */
    void pass() {
        toServer.pass();
        toClient.pass();
    }

    void close() {
        client.close();
        drop();
    }

    void reset() {
        reset(client);
        drop();
    }

    private void drop() {
        toClient.drop();
        toServer.drop();
        if (server != null) {
            server.close();
        }
    }

    static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    private record Kept(ByteBuf frame, List<NodeReply> heard, long due) {}

    /** One direction: frames leave in the order of their coming, when their time has come. */
    private final class Way {
        private final Queue<Kept> kept = new ArrayDeque<>();
        private Channel to;
        private long last;
        private boolean ended;

        Way(Channel to) {
            this.to = to;
        }

        void take(ByteBuf frame, List<NodeReply> heard) {
            last = Math.max(last, relay.time.nanos() + relay.delay());
            kept.add(new Kept(frame, heard, last));
            later();
        }

        /** Nothing comes after what was taken. */
        void end() {
            ended = true;
            later();
        }

        private void later() {
            long wait = last - relay.time.nanos();
            if (wait <= 0) {
                pass();
            } else {
                relay.loop.schedule(this::pass, wait, TimeUnit.NANOSECONDS);
            }
        }

        void pass() {
            if (to == null || relay.silent()) {
                return;
            }
            while (!kept.isEmpty() && kept.peek().due <= relay.time.nanos()) {
                write(kept.poll());
            }
            if (ended && kept.isEmpty()) {
                close();
            }
        }

        private void write(Kept next) {
            ByteBuf frame = next.frame;
            if (to == client && relay.takesHalf()) {
                to.writeAndFlush(frame.readSlice(frame.readableBytes() / 2))
                        .addListener(done -> reset());
                return;
            }
            int size = frame.readableBytes();
            to.writeAndFlush(frame)
                    .addListener(
                            done -> {
                                if (done.isSuccess() && to == client) {
                                    relay.carried(size);
                                    next.heard.forEach(
                                            each -> relay.hearing.heard(each, relay.time.nanos()));
                                }
                            });
        }

        void drop() {
            kept.forEach(each -> each.frame.release());
            kept.clear();
            to = null;
        }
    }
}
