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
 * How messages are delimited, read strictly in both directions: a message that could be read in two
 * ways may hide another one in its body. Stateless.
 */
final class MessageFraming {
    /** The longest body that is held whole; up to it requests can be retried. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    /** The longest body that is streamed; a message with a longer one is not taken. */
    static final long MAX_STREAMED_BODY_BYTES = 32 << 20;

    /** More digits than any body has, and none that overflow. */
    private static final int MAX_LENGTH_DIGITS = 15;

    private MessageFraming() {}

    static HttpDecoderConfig strictDecoderConfig() {
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
     * Whether there is one way to tell where this message ends: one length, chunks alone, or
     * neither.
     */
    static boolean hasUnambiguousLength(HttpMessage message) {
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
                && text.length() <= MAX_LENGTH_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
