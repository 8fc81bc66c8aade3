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

/** One connection of an operator: one line is read and replied to, and the rest is ignored. */
final class AdminConnection extends ChannelInboundHandlerAdapter {
    /** For the operator to read the reply, before unread input of its own resets the connection. */
    private static final long LINGER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final AdminServer server;
    private final Channel channel;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream(64);
    private final long openedAtNanos;
    private Scheduler.ScheduledTask timeout = () -> {};
    private boolean replied;

    AdminConnection(AdminServer line, Channel channel) {
        this.server = line;
        this.channel = channel;
        this.openedAtNanos = line.loop().nanoTime();
    }

    long openedAtNanos() {
        return openedAtNanos;
    }

    void closeAfter(long nanos) {
        timeout = server.loop().schedule(nanos, this::timeOut);
    }

    /** It has had its time: its place is free at once. */
    void timeOut() {
        if (!replied) {
            replied = true;
            channel.writeAndFlush(text(AdminCallHandler.negative("no call came in time")));
        }
        channel.close();
    }

    private static ByteBuf text(String text) {
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
            // One byte more than the longest line, and its end, show that it is too long.
            int remaining = Math.max(0, AdminCall.MAX_BYTES + 2 - received.size());
            byte[] part = new byte[Math.min(length, remaining)];
            bytes.readBytes(part);
            received.write(part, 0, part.length);
            if (!replied && (end >= 0 || received.size() > AdminCall.MAX_BYTES + 1)) {
                handle();
            }
        } finally {
            bytes.release();
        }
    }

    /** An operator that ends its side of the connection has line all. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (!replied && received.size() > 0) {
                handle();
            } else {
                channel.close();
            }
        }
    }

    private void handle() {
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
        channel.writeAndFlush(text(text))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                .addListener(done -> linger());
        // Else a reply that is never read would hold its place for ever.
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
