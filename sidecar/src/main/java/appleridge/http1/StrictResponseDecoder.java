package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/** Decodes responses strictly: an ambiguous one could hide a second response. */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private final HeadLineValidator headLines = new HeadLineValidator(false);

    StrictResponseDecoder() {
        super(MessageFraming.strictDecoderConfig());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (headLines.isWellFormed(in)) {
            int first = out.size();
            super.decode(ctx, in, out);
            headLines.onDecoded(out, first);
        } else {
            MessageFraming.rejectRest(in, out, createInvalidMessage());
        }
    }

    /** Whether bytes of a further response have been read but not decoded. */
    boolean hasBufferedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw MessageFraming.lengthAndChunks();
    }
}
