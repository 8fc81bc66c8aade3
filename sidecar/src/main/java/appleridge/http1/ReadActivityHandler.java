package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Sees a connection's bytes before the decoder, which reports a message only once its head is
 * complete. Behind the last message that is read, input is discarded here without being decoded.
 * Loop thread only.
 */
final class ReadActivityHandler extends ChannelInboundHandlerAdapter {
    /** What is discarded for the sake of an orderly end; then the connection is closed. */
    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    private boolean hasPartialMessage;
    private boolean isDelivering;
    private boolean discarding;
    private long discardedBytes;

    /** Whether bytes have been read that belong to no complete message yet. */
    boolean hasPartialMessage() {
        return hasPartialMessage;
    }

    /**
     * A message has been read to its end.
     *
     * @param more whether bytes of a further one have been read
     */
    void onMessageComplete(boolean more) {
        hasPartialMessage = more;
    }

    /** Whether what has been read is just being passed on. */
    boolean isDelivering() {
        return isDelivering;
    }

    /** Discards all that is read from now on. */
    void discardInput() {
        discarding = true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        isDelivering = true;
        if (discarding) {
            discardedBytes += ((ByteBuf) message).readableBytes();
            ReferenceCountUtil.release(message);
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                ctx.close();
            }
            return;
        }
        hasPartialMessage = true;
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        isDelivering = false;
        ctx.fireChannelReadComplete();
    }
}
