package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Sees a connection's bytes ahead of the decoder, which tells of a message only once its head is
 * whole and keeps what it has read of one to itself. Behind a message that is the last one read,
 * input is discarded here, at no cost for decoding.
 */
final class ReadActivityHandler extends ChannelInboundHandlerAdapter {
    /**
     * What is discarded for the sake of an orderly end; then the connection ends with input unread.
     */
    private static final long MOST_DISCARDED = 1 << 20;

    private boolean begun;
    private boolean delivering;
    private boolean discarding;
    private long discarded;

    /** Whether bytes have come that belong to no whole message yet. */
    boolean begun() {
        return begun;
    }

    /**
     * A message has been read whole; {@code more} tells whether bytes of a further one are there.
     */
    void whole(boolean more) {
        begun = more;
    }

    /** Whether what has been read is just being handed on. */
    boolean delivering() {
        return delivering;
    }

    void discard() {
        discarding = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        delivering = true;
        if (discarding) {
            discarded += ((ByteBuf) message).readableBytes();
            ReferenceCountUtil.release(message);
            if (discarded > MOST_DISCARDED) {
                ctx.close();
            }
            return;
        }
        begun = true;
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        delivering = false;
        ctx.fireChannelReadComplete();
    }
}
