package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Assembles the response to the request that an upstream connection carries. A body up to {@link
 * MessageFraming#MAX_BUFFERED_BODY_BYTES} is held whole; a longer one of a good response is
 * streamed. Loop thread only.
 */
final class ResponseReader {
    private static final byte[] NO_BODY = {};
    private static final int INITIAL_BODY_BYTES = 256;

    private final ReadActivityHandler readActivity;
    private final StrictResponseDecoder decoder;
    private final StreamedBody.Source source;
    private HttpResponse head;
    private ByteBuf body;
    private StreamedBody stream;
    private long streamedBytes;
    private Outcome outcome;
    private HttpUpstreamResponse response;

    /**
     * For one connection.
     *
     * @param source paused while the client of a streamed response has enough to read
     */
    ResponseReader(
            ReadActivityHandler readActivity,
            StrictResponseDecoder decoder,
            StreamedBody.Source source) {
        this.readActivity = readActivity;
        this.decoder = decoder;
        this.source = source;
    }

    /** Another request is about to be sent: its response is read next. */
    void reset() {
        head = null;
        body = null;
        outcome = null;
        response = null;
        stream = null;
        streamedBytes = 0;
    }

    /** The next part of the response to {@code call}; returns false where it can't be used. */
    boolean onMessage(HttpObject message, UpstreamCall call) {
        if (message instanceof HttpResponse start) {
            if (isInterim(start)) {
                return true;
            }
            if (!canBeServed(start)) {
                return false;
            }
            head = start;
            body = Unpooled.buffer(INITIAL_BODY_BYTES);
        }
        if (head == null && message instanceof LastHttpContent) {
            // The end of an interim response: the final one may take its time.
            readActivity.onMessageComplete(decoder.hasBufferedBytes());
        }
        return !(message instanceof HttpContent content)
                || head == null
                || onContent(content, call);
    }

    private boolean onContent(HttpContent content, UpstreamCall call) {
        if (!take(content.content(), call)) {
            return false;
        }
        if (content instanceof LastHttpContent) {
            readActivity.onMessageComplete(decoder.hasBufferedBytes());
            outcome = OutcomeClassifier.ofResponse(head);
            byte[] held = stream != null ? NO_BODY : ByteBufUtil.getBytes(body);
            response = new HttpUpstreamResponse(head.headers(), held);
        }
        return true;
    }

    private static boolean isInterim(HttpResponse start) {
        return start.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !start.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    /**
     * One length, chunks, or neither: then the upstream's orderly end of the connection is the
     * response's (RFC 9112, 6.3), and whatever else ends the connection breaks it off.
     */
    private static boolean canBeServed(HttpResponse start) {
        long maxBytes =
                start.status().code() == 200
                        ? MessageFraming.MAX_STREAMED_BODY_BYTES
                        : MessageFraming.MAX_BUFFERED_BODY_BYTES;
        return MessageFraming.hasUnambiguousLength(start)
                && HttpUtil.getContentLength(start, 0L) <= maxBytes;
    }

    /** Holds a piece of the body, or streams it; returns false where neither can be done. */
    private boolean take(ByteBuf piece, UpstreamCall call) {
        if (stream == null
                && body.readableBytes() + piece.readableBytes()
                        <= MessageFraming.MAX_BUFFERED_BODY_BYTES) {
            body.writeBytes(piece);
            return true;
        }
        if (stream == null && !startStream(call)) {
            return false;
        }
        streamedBytes += piece.readableBytes();
        if (streamedBytes > MessageFraming.MAX_STREAMED_BODY_BYTES) {
            return false;
        }
        stream.write(piece.retain());
        return true;
    }

    private boolean startStream(UpstreamCall call) {
        stream = new StreamedBody(head.headers(), HttpUtil.getContentLength(head, -1L), source);
        if (head.status().code() != 200 || !call.startResponseStream(stream)) {
            stream = null;
            return false;
        }
        streamedBytes = body.readableBytes();
        stream.write(body.retainedSlice());
        return true;
    }

    /** Whether the outcome is known: a complete response, or {@link #onWriteFailed}. */
    boolean hasOutcome() {
        return outcome != null;
    }

    /** What a complete response proves; null before. */
    Outcome outcome() {
        return outcome;
    }

    /** The complete response; null before. */
    HttpUpstreamResponse response() {
        return response;
    }

    /** Whether the response allows another request on its connection. */
    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(head);
    }

    /** Whether the response is streamed. */
    boolean isStreaming() {
        return stream != null;
    }

    /** The request's last byte could not be written. */
    void onWriteFailed(Throwable cause) {
        outcome = OutcomeClassifier.ofFailedWrite(cause, outcome);
    }

    /** The complete response is handed over: what it held is let go. */
    void release() {
        head = null;
        body = null;
    }

    /** All of a streamed response has come. */
    void completeStream() {
        if (stream != null) {
            stream.complete();
            stream = null;
        }
    }

    /** What has come of a streamed response goes out. */
    void flushStream() {
        if (stream != null) {
            stream.flush();
        }
    }

    /** No more of a streamed response will come. */
    void abortStream() {
        if (stream != null) {
            stream.discard();
            stream = null;
        }
    }
}
