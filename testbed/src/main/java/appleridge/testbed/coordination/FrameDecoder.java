package appleridge.testbed.coordination;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Splits a byte stream into frames; each output frame includes its length prefix. */
final class FrameDecoder extends ByteToMessageDecoder {
    /**
     * The four-letter command {@code isro}, which a client sends instead of a frame to ask whether
     * the server is read-only.
     */
    static final int IS_READ_ONLY = 0x6973726f;

    private static final int MAX_LENGTH = 64 << 20;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length == IS_READ_ONLY) {
            length = 0;
        } else if (length < 0 || length > MAX_LENGTH) {
            throw new IllegalStateException(
                    "frame length " + length + " is not in 0.." + MAX_LENGTH);
        }
        if (in.readableBytes() >= Integer.BYTES + length) {
            out.add(in.readRetainedSlice(Integer.BYTES + length));
        }
    }
}
