package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * How messages are delimited, read strictly in both directions. Danger: a message that could be
 * read in two ways may hide another one in its body.
 */
final class MessageFraming {
    /** The longest body that is held whole, in bytes; up to it requests can be sent again. */
    static final int MAX_BODY = 64 * 1024;

    /**
     * The longest answer that is passed on in pieces, in bytes; what says that it is longer is
     * spoilt.
     */
    static final long MOST_FLOWING = 32 << 20;

    /** More digits than any body has, and none that overflow. */
    private static final int MOST_DIGITS = 15;

    private MessageFraming() {}

    static HttpDecoderConfig strict() {
        return new HttpDecoderConfig()
                .setStrictLineParsing(true)
                .setAllowDuplicateContentLengths(false)
                .setUseRfc9112TransferEncoding(true);
    }

    /** Marks a message whose head is not in order. */
    private static HttpMessage malformed(HttpMessage message) {
        message.setDecoderResult(
                DecoderResult.failure(new IllegalArgumentException("malformed head")));
        return message;
    }

    /** Passes a message on as malformed, and discards all that has been read behind it. */
    static void rejectRest(ByteBuf in, List<Object> out, HttpMessage message) {
        out.add(malformed(message));
        in.skipBytes(in.readableBytes());
    }

    /** For a message with both a length and chunks, which could be read in two ways. */
    static IllegalArgumentException lengthAndChunks() {
        return new IllegalArgumentException("both a length and chunks");
    }

    /**
     * Whether there is one way to tell where this message ends: one plain length, or chunks alone.
     */
    static boolean isPlain(HttpMessage message) {
        HttpHeaders headers = message.headers();
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!encodings.isEmpty()) {
            return lengths.isEmpty()
                    && encodings.size() == 1
                    && encodings.get(0).equalsIgnoreCase("chunked")
                    && message.protocolVersion().equals(HttpVersion.HTTP_1_1);
        }
        return lengths.isEmpty() || lengths.size() == 1 && isLength(lengths.get(0));
    }

    private static boolean isLength(String text) {
        return !text.isEmpty()
                && text.length() <= MOST_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
