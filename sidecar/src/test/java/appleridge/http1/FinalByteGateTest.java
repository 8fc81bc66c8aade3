package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;

class FinalByteGateTest {
    /** A socket that accepts writes only when {@link #acceptAll} is called. */
    private static final class SlowSocket extends ChannelOutboundHandlerAdapter {
        private record PendingWrite(Object message, ChannelPromise promise) {}

        private final Deque<PendingWrite> pending = new ArrayDeque<>();
        private ChannelHandlerContext ctx;

        @Override
        public void handlerAdded(ChannelHandlerContext newContext) {
            ctx = newContext;
        }

        @Override
        public void write(ChannelHandlerContext unused, Object message, ChannelPromise promise) {
            pending.add(new PendingWrite(message, promise));
        }

        void acceptAll() {
            while (!pending.isEmpty()) {
                PendingWrite next = pending.poll();
                ctx.writeAndFlush(next.message, next.promise);
            }
        }
    }

    private final SlowSocket socket = new SlowSocket();
    private boolean mayRelease = true;
    private final EmbeddedChannel channel =
            new EmbeddedChannel(socket, new FinalByteGate(() -> mayRelease));

    private ChannelFuture write(String... parts) {
        ChannelFuture last = null;
        for (String part : parts) {
            last = channel.write(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
        channel.flush();
        return last;
    }

    private String sent() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
            text.append(next.toString(StandardCharsets.US_ASCII));
            next.release();
        }
        return text.toString();
    }

    @Test
    void completeMessageIsWrittenAndHandlerRemovesItself() {
        ChannelFuture done = write("head", "", "body");
        socket.acceptAll();
        assertEquals("headbody", sent());
        assertTrue(done.isSuccess());
        assertNull(channel.pipeline().get(FinalByteGate.class));
    }

    /**
     * Guards against a retry that the upstream runs after its deadline, because its last bytes
     * waited in a full socket until then.
     */
    @Test
    void lastByteIsWithheldWhenDeadlinePassedWhileRestWaited() {
        ChannelFuture done = write("head", "body");
        mayRelease = false;
        socket.acceptAll();
        assertEquals("headbod", sent());
        assertFalse(done.isSuccess());
        assertInstanceOf(FinalByteGate.TooLateException.class, done.cause());
    }

    @Test
    void singleByteMessageIsWithheldAndBuffersAreReleased() {
        mayRelease = false;
        ChannelFuture done = write("x");
        socket.acceptAll();
        assertEquals("", sent());
        assertInstanceOf(FinalByteGate.TooLateException.class, done.cause());
        ByteBuf unflushed = Unpooled.copiedBuffer("unflushed", StandardCharsets.US_ASCII);
        EmbeddedChannel other = new EmbeddedChannel(new FinalByteGate(() -> true));
        other.write(unflushed);
        other.close();
        other.releaseOutbound();
        assertEquals(0, unflushed.refCnt());
    }
}
