package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.BufferBudget;
import appleridge.request.MonotonicClock;
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
import java.util.concurrent.TimeUnit;

/**
 * Assembles the response to the current request of an upstream connection. A body of up to {@link
 * MessageFraming#MAX_BUFFERED_BODY_BYTES} is buffered whole; a longer one of a response with status
 * 200 is streamed, and so is one that may be longer once it has been held for as long as it may be.
 * Event loop only.
 */
final class ResponseReader {
    private static final byte[] NO_BODY = {};

    /**
     * How long a response that may exceed the buffer is held after its head, so that it can be
     * retried if it breaks. Well below the 2 s for which a long response may be held back.
     */
    private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final ReadActivityHandler readActivity;
    private final StrictResponseDecoder decoder;
    private final StreamedBody.Source source;
    private final MonotonicClock clock;
    private BufferBudget.Reservation reservation;
    private long headBytes;
    private long headAtNanos;
    private HttpResponse head;
    private ByteBuf body;
    private StreamedBody stream;
    private long streamedBytes;
    private Outcome outcome;
    private HttpUpstreamResponse response;

    /**
     * Creates a reader for one connection.
     *
     * @param source paused while the client of a streamed response cannot take more
     */
    ResponseReader(
            ReadActivityHandler readActivity,
            StrictResponseDecoder decoder,
            StreamedBody.Source source,
            MonotonicClock clock) {
        this.clock = clock;
        this.readActivity = readActivity;
        this.decoder = decoder;
        this.source = source;
    }

    /**
     * Prepares for the response to the next request, which is about to be sent.
     *
     * @param newReservation an empty reservation for that response; released at its end
     */
    void reset(BufferBudget.Reservation newReservation) {
        reservation = newReservation;
        head = null;
        body = null;
        outcome = null;
        response = null;
        stream = null;
        streamedBytes = 0;
    }

    /**
     * Processes the next part of the response to {@code call}. Returns false if the response cannot
     * be used.
     */
    boolean onMessage(HttpObject message, UpstreamCall call) {
        if (message instanceof HttpResponse responseHead) {
            if (isInterim(responseHead)) {
                return true;
            }
            if (!canBeServed(responseHead)) {
                return false;
            }
            headBytes = Headers.memoryBytes(responseHead.headers());
            if (!reservation.resize(headBytes)) {
                return false;
            }
            head = responseHead;
            headAtNanos = clock.nanoTime();
            body = Unpooled.buffer(0);
        }
        if (head == null && message instanceof LastHttpContent) {
            // The end of an interim response. The stall timer must not run before the final
            // response
            // begins.
            readActivity.onMessageComplete(decoder.hasBufferedBytes());
        }
        return !(message instanceof HttpContent content)
                || head == null
                || onContent(content, call);
    }

    private boolean onContent(HttpContent content, UpstreamCall call) {
        if (!onBody(content.content(), call)) {
            return false;
        }
        if (content instanceof LastHttpContent) {
            readActivity.onMessageComplete(decoder.hasBufferedBytes());
            outcome = OutcomeClassifier.ofResponse(head);
            byte[] bufferedBody = stream != null ? NO_BODY : ByteBufUtil.getBytes(body);
            response = new HttpUpstreamResponse(head.headers(), bufferedBody);
        }
        return true;
    }

    private static boolean isInterim(HttpResponse responseHead) {
        return responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !responseHead.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    /**
     * Whether the framing and the length of a response are acceptable. With neither a length nor
     * chunks, an orderly close of the connection by the upstream ends the response (RFC 9112, 6.3);
     * any other end of the connection leaves it incomplete.
     */
    private static boolean canBeServed(HttpResponse responseHead) {
        long maxBytes =
                responseHead.status().code() == 200
                        ? MessageFraming.MAX_STREAMED_BODY_BYTES
                        : MessageFraming.MAX_BUFFERED_BODY_BYTES;
        return MessageFraming.hasUnambiguousLength(responseHead)
                && HttpUtil.getContentLength(responseHead, 0L) <= maxBytes;
    }

    /** Buffers or streams a part of the body. Returns false if it exceeds the limits. */
    private boolean onBody(ByteBuf part, UpstreamCall call) {
        if (stream == null
                && body.readableBytes() + part.readableBytes()
                        <= MessageFraming.MAX_BUFFERED_BODY_BYTES) {
            return buffer(part);
        }
        if (stream == null && !startStream(call)) {
            return false;
        }
        streamedBytes += part.readableBytes();
        if (streamedBytes > MessageFraming.MAX_STREAMED_BODY_BYTES) {
            return false;
        }
        stream.write(part.retain());
        return true;
    }

    private boolean buffer(ByteBuf part) {
        int needed = body.readableBytes() + part.readableBytes();
        if (!MessageFraming.reserveBody(body, needed, head, headBytes, reservation)) {
            return false;
        }
        body.writeBytes(part);
        return true;
    }

    /**
     * Whether the response may be too long to be buffered: its length says so, or is not known. It
     * must not be aborted for being slow, because its upstream may still be writing it.
     */
    boolean mayExceedBuffer() {
        if (head == null || isStreaming() || hasOutcome() || head.status().code() != 200) {
            return false;
        }
        long length = HttpUtil.getContentLength(head, -1L);
        return length < 0 || length > MessageFraming.MAX_BUFFERED_BODY_BYTES;
    }

    /** Whether the response is longer than what is buffered, by its length or by what has come. */
    boolean isKnownToExceedBuffer() {
        return HttpUtil.getContentLength(head, -1L) > MessageFraming.MAX_BUFFERED_BODY_BYTES
                || streamedBytes > MessageFraming.MAX_BUFFERED_BODY_BYTES;
    }

    /** Until when a response that may exceed the buffer is held: as long as it can be retried. */
    long holdUntilNanos(UpstreamCall call) {
        return Math.min(headAtNanos + MAX_HOLD_NANOS, call.firstBytesByNanos());
    }

    /**
     * Streams a response that {@link #mayExceedBuffer} from now on, beginning with what is held of
     * it. Returns false if that is not possible.
     */
    boolean streamHeld(UpstreamCall call) {
        if (!mayExceedBuffer() || !startStream(call)) {
            return false;
        }
        flushStream();
        return true;
    }

    /** Reserves memory for a head that has arrived in part. Returns false at the limit. */
    boolean reservePartialHead() {
        return head != null
                || outcome != null
                || reservation.resize(Headers.maxMemoryBytes(readActivity.partialMessageBytes()));
    }

    private boolean startStream(UpstreamCall call) {
        stream =
                new StreamedBody(
                        head.headers(),
                        HttpUtil.getContentLength(head, -1L),
                        source,
                        ReadAheadBuffer.unreserved());
        if (head.status().code() != 200 || !call.startResponseStream(stream)) {
            stream = null;
            return false;
        }
        streamedBytes = body.readableBytes();
        stream.write(body.retainedSlice());
        // From here on the reservation of the client's side counts the stream.
        reservation.resize(headBytes);
        return true;
    }

    /** Whether the outcome is known: a complete response, or {@link #onWriteFailed}. */
    boolean hasOutcome() {
        return outcome != null;
    }

    /** The outcome; null while it is not known. */
    Outcome outcome() {
        return outcome;
    }

    /** The complete response; null until then. */
    HttpUpstreamResponse response() {
        return response;
    }

    /** Whether the response permits another request on the connection. */
    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(head);
    }

    /** What is known of the response, as fields of a log line. */
    String logFields(long now) {
        if (head == null) {
            return " head=false partial_bytes=" + readActivity.partialMessageBytes();
        }
        return " head=true head_age_ms="
                + TimeUnit.NANOSECONDS.toMillis(now - headAtNanos)
                + " length="
                + HttpUtil.getContentLength(head, -1L)
                + " body_bytes="
                + (stream != null ? streamedBytes : body.readableBytes())
                + " streaming="
                + isStreaming();
    }

    /** Whether the response is streamed. */
    boolean isStreaming() {
        return stream != null;
    }

    /** Records that the last byte of the request could not be written. */
    void onWriteFailed(Throwable cause) {
        outcome = OutcomeClassifier.ofFailedWrite(cause, outcome);
    }

    /**
     * Drops the references to a complete response, which has been handed over: an idle connection
     * holds nothing.
     */
    void release() {
        head = null;
        body = null;
        response = null;
    }

    /**
     * Takes out the reservation of the response, to be released once that is handed over. The next
     * request may be sent on this connection meanwhile. Returns null if there is none.
     */
    BufferBudget.Reservation takeReservation() {
        BufferBudget.Reservation taken = reservation;
        reservation = null;
        return taken;
    }

    /** Completes a streamed response. */
    void completeStream() {
        if (stream != null) {
            stream.complete();
            stream = null;
        }
    }

    /** Flushes the received part of a streamed response to the client. */
    void flushStream() {
        if (stream != null) {
            stream.flush();
        }
    }

    /** Discards the rest of a streamed response that ended early. */
    void abortStream() {
        if (stream != null) {
            stream.discard();
            stream = null;
        }
    }
}
