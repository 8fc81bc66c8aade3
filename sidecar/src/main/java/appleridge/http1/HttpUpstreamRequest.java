package appleridge.http1;

import appleridge.request.BufferBudget;
import appleridge.request.UpstreamRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;

/**
 * A client's request as it is forwarded. Immutable except for a streamed body.
 *
 * @param headers the end-to-end headers
 * @param body the whole body; empty if it is streamed
 * @param streamedBody the body if it is too long to be buffered; null otherwise
 * @param reservation the reservation of the request's bytes; null if there is none
 */
record HttpUpstreamRequest(
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        StreamedBody streamedBody,
        BufferBudget.Reservation reservation)
        implements UpstreamRequest {

    HttpUpstreamRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
        this(method, uri, headers, body, null, null);
    }

    /** Returns the same request with a streamed body. */
    HttpUpstreamRequest withStreamedBody(StreamedBody streamed) {
        return new HttpUpstreamRequest(method, uri, headers, body, streamed, reservation);
    }

    /** Returns the same request with the reservation of its bytes. */
    HttpUpstreamRequest withReservation(BufferBudget.Reservation reserved) {
        return new HttpUpstreamRequest(method, uri, headers, body, streamedBody, reserved);
    }

    @Override
    public void release() {
        if (streamedBody != null) {
            streamedBody.discard();
        }
        if (reservation != null) {
            reservation.release();
        }
    }

    /** Returns the message for an upstream, with the remaining time as its deadline. */
    FullHttpRequest toFullRequest(InetSocketAddress address, long remainingNanos) {
        HttpHeaders forwarded = forwardedHeaders(address, remainingNanos);
        if (body.length > 0 || forwarded.contains(Headers.IDEMPOTENCY_KEY)) {
            forwarded.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body),
                forwarded,
                EmptyHttpHeaders.INSTANCE);
    }

    /**
     * Returns the head of a message with a streamed body, with the remaining time as its deadline.
     */
    HttpRequest toRequestHead(InetSocketAddress address, long remainingNanos) {
        HttpHeaders forwarded = forwardedHeaders(address, remainingNanos);
        if (streamedBody.length() >= 0) {
            forwarded.set(HttpHeaderNames.CONTENT_LENGTH, streamedBody.length());
        } else {
            forwarded.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, forwarded);
    }

    private HttpHeaders forwardedHeaders(InetSocketAddress address, long remainingNanos) {
        HttpHeaders forwarded = new DefaultHttpHeaders().set(headers);
        forwarded.set(Headers.DEADLINE, Headers.seconds(remainingNanos));
        if (!forwarded.contains(HttpHeaderNames.HOST)) {
            forwarded.set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        return forwarded;
    }
}
