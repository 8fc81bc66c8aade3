package appleridge.admin.protocol;

import appleridge.admin.AdminCall;
import appleridge.admin.AdminCallHandler;
import appleridge.request.Scheduler;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * One operator's connection. Reads one command line, replies to it, and ignores all further input.
 * Event loop only.
 */
final class AdminConnection extends ChannelInboundHandlerAdapter {
    /**
     * Time for the operator to read the reply: closing the socket earlier, with input unread, would
     * reset the connection and could lose the reply.
     */
    private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final AdminServer server;
    private final Channel channel;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream(64);
    private final long openedAtNanos;
    private Scheduler.ScheduledTask timeout = () -> {};
    private boolean replied;

    AdminConnection(AdminServer server, Channel channel) {
        this.server = server;
        this.channel = channel;
        this.openedAtNanos = server.loop().nanoTime();
    }

    long openedAtNanos() {
        return openedAtNanos;
    }

    void closeAfter(long nanos) {
        timeout = server.loop().schedule(nanos, this::timeOut);
    }

    /** Closes the connection at its time limit, which frees its place at once. */
    void timeOut() {
        if (!replied) {
            replied = true;
            channel.writeAndFlush(encode(AdminCallHandler.negativeReply("no call came in time")));
        }
        channel.close();
    }

    private static ByteBuf encode(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.onConnectionOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            int end = bytes.bytesBefore((byte) '\n');
            int length = end < 0 ? bytes.readableBytes() : end;
            // MAX_BYTES + 2 bytes without a line feed prove that the line is too long, even where
            // the last byte received is a carriage return.
            int remaining = Math.max(0, AdminCall.MAX_BYTES + 2 - received.size());
            byte[] part = new byte[Math.min(length, remaining)];
            bytes.readBytes(part);
            received.write(part, 0, part.length);
            if (!replied && (end >= 0 || received.size() > AdminCall.MAX_BYTES + 1)) {
                handleLine();
            }
        } finally {
            bytes.release();
        }
    }

    /** Handles the line received so far when the operator shuts down its output. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (!replied && received.size() > 0) {
                handleLine();
            } else {
                channel.close();
            }
        }
    }

    private void handleLine() {
        byte[] line = received.toByteArray();
        int length =
                line.length > 0 && line[line.length - 1] == '\r' ? line.length - 1 : line.length;
        byte[] text = new byte[length];
        System.arraycopy(line, 0, text, 0, length);
        replied = true;
        server.handler().handle(text, this::reply);
    }

    private void reply(String text) {
        replied = true;
        timeout.cancel();
        channel.writeAndFlush(encode(text))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                .addListener(done -> linger());
        // Without this limit a client that never reads its reply would hold its place forever.
        timeout = server.loop().schedule(TimeUnit.SECONDS.toNanos(1), channel::close);
    }

    private void linger() {
        if (channel.isActive()) {
            ((DuplexChannel) channel).shutdownOutput();
            server.loop().schedule(LINGER_NANOS, channel::close);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timeout.cancel();
        server.onConnectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        channel.close();
    }
}
