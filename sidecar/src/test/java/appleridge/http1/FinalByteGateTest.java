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
    /** A socket that takes what is written only when told to. */
    private static final class Slow extends ChannelOutboundHandlerAdapter {
        private record Waiting(Object message, ChannelPromise promise) {}

        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private ChannelHandlerContext ctx;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            ctx = added;
        }

        @Override
        public void write(ChannelHandlerContext on, Object message, ChannelPromise promise) {
            waiting.add(new Waiting(message, promise));
        }

        void takeAll() {
            while (!waiting.isEmpty()) {
                Waiting next = waiting.poll();
                ctx.writeAndFlush(next.message, next.promise);
            }
        }
    }

    private final Slow socket = new Slow();
    private boolean mayGo = true;
    private final EmbeddedChannel channel =
            new EmbeddedChannel(socket, new FinalByteGate(() -> mayGo));

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
        socket.takeAll();
        assertEquals("headbody", sent());
        assertTrue(done.isSuccess());
        assertNull(channel.pipeline().get(FinalByteGate.class));
    }

    /**
     * Guards against a repeat that runs because its last bytes waited in a full socket beyond its
     * window.
     */
    @Test
    void lastByteIsWithheldWhenDeadlinePassedWhileRestWaited() {
        ChannelFuture done = write("head", "body");
        mayGo = false;
        socket.takeAll();
        assertEquals("headbod", sent());
        assertFalse(done.isSuccess());
        assertInstanceOf(FinalByteGate.TooLateException.class, done.cause());
    }

    @Test
    void singleByteMessageIsWithheldAndNothingLeaks() {
        mayGo = false;
        ChannelFuture done = write("x");
        socket.takeAll();
        assertEquals("", sent());
        assertInstanceOf(FinalByteGate.TooLateException.class, done.cause());
        ByteBuf never = Unpooled.copiedBuffer("never", StandardCharsets.US_ASCII);
        EmbeddedChannel other = new EmbeddedChannel(new FinalByteGate(() -> true));
        other.write(never);
        other.close();
        other.releaseOutbound();
        assertEquals(0, never.refCnt());
    }
}
