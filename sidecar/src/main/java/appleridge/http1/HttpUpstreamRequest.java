package appleridge.http1;

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
 * A client's request as it is sent on.
 *
 * @param headers end-to-end headers
 * @param body all of it; empty where it flows
 * @param flow the body, where it is too long to be held; null else
 */
record HttpUpstreamRequest(
        HttpMethod method, String uri, HttpHeaders headers, byte[] body, StreamedBody flow)
        implements UpstreamRequest {

    HttpUpstreamRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
        this(method, uri, headers, body, null);
    }

    HttpUpstreamRequest with(StreamedBody flowing) {
        return new HttpUpstreamRequest(method, uri, headers, body, flowing);
    }

    /** The message for an upstream, with the nanoseconds for which the answer is waited for. */
    FullHttpRequest message(InetSocketAddress address, long timeLeft) {
        HttpHeaders own = head(address, timeLeft);
        if (body.length > 0 || own.contains(Headers.IDEMPOTENCY_KEY)) {
            own.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body),
                own,
                EmptyHttpHeaders.INSTANCE);
    }

    /** The head of a message whose body flows. */
    HttpRequest start(InetSocketAddress address, long timeLeft) {
        HttpHeaders own = head(address, timeLeft);
        if (flow.length() >= 0) {
            own.set(HttpHeaderNames.CONTENT_LENGTH, flow.length());
        } else {
            own.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, own);
    }

    private HttpHeaders head(InetSocketAddress address, long timeLeft) {
        HttpHeaders own = new DefaultHttpHeaders().set(headers);
        own.set(Headers.DEADLINE, Headers.seconds(timeLeft));
        if (!own.contains(HttpHeaderNames.HOST)) {
            own.set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        }
        return own;
    }
}
