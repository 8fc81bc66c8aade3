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
 * One connection of an operator: a line is read, answered, and whatever follows it is not looked
 * at.
 */
final class AdminConnection extends ChannelInboundHandlerAdapter {
    /**
     * For the caller to read the answer, before unread input of its own would reset the connection.
     */
    private static final long LINGER = TimeUnit.MILLISECONDS.toNanos(200);

    private final AdminServer line;
    private final Channel channel;
    private final ByteArrayOutputStream heard = new ByteArrayOutputStream(64);
    private final long since;
    private Scheduler.ScheduledTask limit = () -> {};
    private boolean answered;

    AdminConnection(AdminServer line, Channel channel) {
        this.line = line;
        this.channel = channel;
        this.since = line.loop().nanoTime();
    }

    long since() {
        return since;
    }

    void hangUpAfter(long nanos) {
        limit = line.loop().after(nanos, this::late);
    }

    /** It has had its time; its place is free at once. */
    void late() {
        if (!answered) {
            answered = true;
            channel.writeAndFlush(text(AdminCallHandler.no("no call came in time")));
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
        line.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            int end = bytes.bytesBefore((byte) '\n');
            int length = end < 0 ? bytes.readableBytes() : end;
            // One byte more than a line may have, and its end, tell that it is too long.
            int room = Math.max(0, AdminCall.MOST_BYTES + 2 - heard.size());
            byte[] part = new byte[Math.min(length, room)];
            bytes.readBytes(part);
            heard.write(part, 0, part.length);
            if (!answered && (end >= 0 || heard.size() > AdminCall.MOST_BYTES + 1)) {
                answer();
            }
        } finally {
            bytes.release();
        }
    }

    /** A caller that ends its side first has said what it has to say. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (!answered && heard.size() > 0) {
                answer();
            } else {
                channel.close();
            }
        }
    }

    private void answer() {
        byte[] said = heard.toByteArray();
        int length =
                said.length > 0 && said[said.length - 1] == '\r' ? said.length - 1 : said.length;
        byte[] text = new byte[length];
        System.arraycopy(said, 0, text, 0, length);
        answered = true;
        line.answers().to(text, this::answer);
    }

    private void answer(String text) {
        answered = true;
        limit.cancel();
        channel.writeAndFlush(text(text))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                .addListener(done -> linger());
        // Danger: an answer that is never read would hold its place for good.
        limit = line.loop().after(TimeUnit.SECONDS.toNanos(1), channel::close);
    }

    private void linger() {
        if (channel.isActive()) {
            ((DuplexChannel) channel).shutdownOutput();
            line.loop().after(LINGER, channel::close);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        limit.cancel();
        line.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        channel.close();
    }
}
