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

/** One client's connection and the matching connection to the server. */
final class RelayLink {
    private static final int CONNECT_MILLIS = 5000;

    private final Relay relay;
    private final Conversation conversation = new Conversation();
    private final Channel client;
    private final Direction toClient;
    private final Direction toServer = new Direction(null);
    private Channel server;

    RelayLink(Relay relay, Channel client) {
        this.relay = relay;
        this.client = client;
        this.toClient = new Direction(client);
        client.pipeline()
                .addLast(
                        new FrameDecoder(),
                        new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
                                fromClient(frame);
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
                .handler(new FrameDecoder())
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
                                fromServer(frame);
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

    private void fromClient(ByteBuf frame) {
        if (frame.readableBytes() == Integer.BYTES
                && frame.getInt(frame.readerIndex()) == FrameDecoder.IS_READ_ONLY) {
            client.writeAndFlush(
                    Unpooled.copiedBuffer(
                            relay.readOnly() ? "ro" : "rw", StandardCharsets.US_ASCII));
            return;
        }
        conversation.clientFrame(frame);
        toServer.enqueue(frame.retain(), List.of());
    }

    private void fromServer(ByteBuf frame) {
        if (conversation.awaitsConnectResponse() && relay.readOnly()) {
            frame.setByte(frame.writerIndex() - 1, 1);
        }
        toClient.enqueue(frame.retain(), conversation.serverFrame(frame));
    }

    long session() {
        return conversation.session();
    }

    /** Passes the frames that were held back and are due. */
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

    private record QueuedFrame(ByteBuf frame, List<NodeReply> replies, long due) {}

    /** One direction of the link: a FIFO queue whose frames leave when they are due. */
    private final class Direction {
        private final Queue<QueuedFrame> queue = new ArrayDeque<>();
        private Channel to;
        private long lastDue;
        private boolean ended;

        Direction(Channel to) {
            this.to = to;
        }

        void enqueue(ByteBuf frame, List<NodeReply> replies) {
            lastDue = Math.max(lastDue, relay.time.nanos() + relay.delay());
            queue.add(new QueuedFrame(frame, replies, lastDue));
            schedulePass();
        }

        /** Marks the end of the stream; closes the link once the queue is empty. */
        void end() {
            ended = true;
            schedulePass();
        }

        private void schedulePass() {
            long wait = lastDue - relay.time.nanos();
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
            while (!queue.isEmpty() && queue.peek().due <= relay.time.nanos()) {
                write(queue.poll());
            }
            if (ended && queue.isEmpty()) {
                close();
            }
        }

        private void write(QueuedFrame next) {
            ByteBuf frame = next.frame;
            if (to == client && relay.consumeTruncation()) {
                to.writeAndFlush(frame.readSlice(frame.readableBytes() / 2))
                        .addListener(done -> reset());
                return;
            }
            int size = frame.readableBytes();
            to.writeAndFlush(frame)
                    .addListener(
                            done -> {
                                if (done.isSuccess() && to == client) {
                                    relay.addBytesToClients(size);
                                    next.replies.forEach(
                                            each ->
                                                    relay.replyListener.onReply(
                                                            each, relay.time.nanos()));
                                }
                            });
        }

        void drop() {
            queue.forEach(each -> each.frame.release());
            queue.clear();
            to = null;
        }
    }
}
