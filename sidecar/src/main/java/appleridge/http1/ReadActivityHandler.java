package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Observes a connection's input ahead of the decoder, which reports a message only once its head is
 * complete. After the last message that is read, discards input without decoding it. Event loop
 * only.
 */
final class ReadActivityHandler extends ChannelInboundHandlerAdapter {
    /**
     * The input discarded during an orderly close, after which the connection is closed at once.
     */
    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    private boolean hasPartialMessage;
    private long partialMessageBytes;
    private long bytesRead;
    private boolean delivering;
    private int readsInEvent;
    private long readCount;
    private boolean readLimitReached;
    private boolean discarding;
    private long discardedBytes;
    private long maxDiscardedBytes = MAX_DISCARDED_BYTES;

    /** Whether bytes of an incomplete message have been read. */
    boolean hasPartialMessage() {
        return hasPartialMessage;
    }

    /**
     * Records that a message has been read to its end.
     *
     * @param hasMoreBytes whether bytes of a further message have been read
     */
    void onMessageComplete(boolean hasMoreBytes) {
        hasPartialMessage = hasMoreBytes;
        partialMessageBytes = 0;
    }

    /** The number of bytes read of the incomplete message, without those read with the last one. */
    long partialMessageBytes() {
        return partialMessageBytes;
    }

    /** The number of bytes read since the connection was opened. */
    long bytesRead() {
        return bytesRead;
    }

    /** Whether a read is in progress, whose input is being passed to the decoder. */
    boolean isDelivering() {
        return delivering;
    }

    /** Whether the last event left input unread, because it made as many reads as it may. */
    boolean hasReachedReadLimit() {
        return readLimitReached;
    }

    /** The number of reads since the connection was opened. */
    long readCount() {
        return readCount;
    }

    /** Discards all further input. */
    void discardInput() {
        discarding = true;
    }

    /** Discards all further input, which may be as long as a request. */
    void discardUpload() {
        discarding = true;
        maxDiscardedBytes = MessageFraming.MAX_STREAMED_BODY_BYTES;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        delivering = true;
        readsInEvent++;
        readCount++;
        bytesRead += ((ByteBuf) message).readableBytes();
        if (discarding) {
            discardedBytes += ((ByteBuf) message).readableBytes();
            ReferenceCountUtil.release(message);
            if (discardedBytes > maxDiscardedBytes) {
                ctx.close();
            }
            return;
        }
        hasPartialMessage = true;
        partialMessageBytes += ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        delivering = false;
        readLimitReached = readsInEvent >= StreamedBody.MAX_READS_PER_EVENT;
        readsInEvent = 0;
        ctx.fireChannelReadComplete();
    }
}
