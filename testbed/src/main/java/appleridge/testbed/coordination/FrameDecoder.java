package appleridge.testbed.coordination;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Cuts a connection's bytes into whole frames, each with the length that stands before it. */
final class FrameDecoder extends ByteToMessageDecoder {
    /**
     * Asked by a client that would rather write: the one thing on a connection that is no frame.
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
            throw new IllegalStateException("no frame: " + length);
        }
        if (in.readableBytes() >= Integer.BYTES + length) {
            out.add(in.readRetainedSlice(Integer.BYTES + length));
        }
    }
}
