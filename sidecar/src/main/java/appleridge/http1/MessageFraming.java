package appleridge.http1;

import appleridge.request.BufferBudget;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Strict rules for the framing of messages in both directions. An ambiguous message could hide
 * another one in its body (request or response smuggling). Stateless.
 */
final class MessageFraming {
    /** The longest body that is buffered whole. Requests with a longer body cannot be retried. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    private static final int MIN_BUFFER_CAPACITY = 256;

    /** The maximum number of header lines of a message. */
    static final int MAX_HEADER_LINES = 100;

    /**
     * The memory of a streamed body: what is received before it has a target, with one read and
     * half a chunk to copy it to. Later the target's write buffer needs less.
     */
    static final int STREAM_MEMORY_BYTES = 112 << 10;

    /** The longest body that is streamed. Messages with a longer body are rejected. */
    static final long MAX_STREAMED_BODY_BYTES = 32 << 20;

    /** The maximum digits of a length: more than any body needs, and too few to overflow. */
    private static final int MAX_LENGTH_DIGITS = 15;

    private MessageFraming() {}

    static HttpDecoderConfig strictDecoderConfig() {
        return new HttpDecoderConfig()
                .setStrictLineParsing(true)
                .setAllowDuplicateContentLengths(false)
                .setUseRfc9112TransferEncoding(true)
                .setTrailersFactory(new LimitedTrailers());
    }

    /**
     * Grows the buffer of a message's body if necessary: to twice its capacity, but not beyond the
     * length of the body if that is known, or else to what is needed. Returns false if the
     * reservation allows neither.
     *
     * @param headBytes what is reserved for the head of the message
     */
    static boolean reserveBody(
            ByteBuf body,
            int needed,
            HttpMessage message,
            long headBytes,
            BufferBudget.Reservation reservation) {
        if (needed <= body.capacity()) {
            return true;
        }
        long length = HttpUtil.getContentLength(message, (long) MAX_BUFFERED_BODY_BYTES);
        long most = Math.min(length, MAX_BUFFERED_BODY_BYTES);
        long doubled = Math.max(MIN_BUFFER_CAPACITY, 2L * body.capacity());
        int capacity = (int) Math.max(needed, Math.min(doubled, most));
        if (!reservation.resize(headBytes + capacity)) {
            capacity = needed;
            if (!reservation.resize(headBytes + capacity)) {
                return false;
            }
        }
        body.capacity(capacity);
        return true;
    }

    /** Marks a message as malformed. */
    private static HttpMessage malformed(HttpMessage message) {
        message.setDecoderResult(
                DecoderResult.failure(new IllegalArgumentException("malformed head")));
        return message;
    }

    /** Passes a message on as malformed, and discards all buffered input. */
    static void rejectRest(ByteBuf in, List<Object> out, HttpMessage message) {
        out.add(malformed(message));
        in.skipBytes(in.readableBytes());
    }

    /** The failure for a message with both a length and chunks, which is ambiguous. */
    static IllegalArgumentException lengthAndChunks() {
        return new IllegalArgumentException("both a length and chunks");
    }

    /**
     * Whether the end of a message is unambiguous: it has a single valid length, or only the
     * chunked encoding in HTTP/1.1, or neither.
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
