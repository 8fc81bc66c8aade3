package appleridge.http1;

import appleridge.request.ResponseSink;
import appleridge.request.StreamedResponse;
import appleridge.request.UpstreamResponse;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * One request of a client connection and the response to it: words outcomes as HTTP, and holds the
 * response until {@link ResponsePipeline} writes it. Loop thread only.
 */
final class ClientExchange implements ResponseSink {
    private static final byte[] NO_BODY = {};

    private final ClientConnection connection;
    private final boolean keepAlive;
    private final boolean chunkedAllowed;
    private FullHttpResponse response;
    private StreamedBody responseStream;
    private StreamedBody upload;
    private boolean streamStarted;
    private boolean streamComplete;
    private boolean streamEndsConnection;
    private Runnable cancellation = () -> {};

    /**
     * For one request.
     *
     * @param keepAlive whether the client may use the connection for another request
     * @param chunkedAllowed whether the client's HTTP version has chunked bodies
     */
    ClientExchange(ClientConnection connection, boolean keepAlive, boolean chunkedAllowed) {
        this.connection = connection;
        this.keepAlive = keepAlive;
        this.chunkedAllowed = chunkedAllowed;
    }

    /** What cancels the request where its client goes away. */
    void onCancel(Runnable cancels) {
        cancellation = cancels;
    }

    /** Cancels the request, once. */
    void cancel() {
        cancellation.run();
        cancellation = () -> {};
    }

    /** Its body is streamed, from what has arrived on. */
    void uploadFrom(StreamedBody body) {
        upload = body;
    }

    /** The streamed request body; null where the body was held whole. */
    StreamedBody upload() {
        return upload;
    }

    /** Whether some of a streamed request body has not arrived. */
    boolean isUploadIncomplete() {
        return upload != null && !upload.isComplete();
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    boolean isChunkedAllowed() {
        return chunkedAllowed;
    }

    /** Whether something of the response can be written that has not been. */
    boolean isWritable() {
        return response != null || responseStream != null && (!streamStarted || streamComplete);
    }

    /** The response where it is held whole; null while there is none. */
    FullHttpResponse response() {
        return response;
    }

    /** The response where it is streamed; null else. */
    StreamedBody responseStream() {
        return responseStream;
    }

    boolean isStreamStarted() {
        return streamStarted;
    }

    boolean isStreamComplete() {
        return streamComplete;
    }

    /** Whether the connection ends behind the streamed response. */
    boolean isConnectionEndedByStream() {
        return streamEndsConnection;
    }

    /** The streamed response's head is being written. */
    void onStreamStarted(boolean endsConnection) {
        streamStarted = true;
        streamEndsConnection = endsConnection;
    }

    /** Its client is gone: the request is cancelled and what is streamed ends. */
    void onConnectionClosed() {
        cancellation.run();
        if (responseStream != null) {
            responseStream.discard();
        }
        if (upload != null) {
            upload.discard();
        }
    }

    @Override
    public void readPendingInput() {
        if (!connection.readPendingInput()) {
            // Netty reports the end of a connection in a later task; the caller has to know it now,
            // or it would send for a client that has left.
            cancellation.run();
        }
    }

    @Override
    public void onResponseStreaming(StreamedResponse streamed) {
        responseStream = (StreamedBody) streamed;
        connection.onStreamProgress();
        connection.responses().writeReady();
    }

    @Override
    public void onResponseComplete() {
        streamComplete = true;
        connection.responses().writeReady();
    }

    @Override
    public void onServed(UpstreamResponse reply) {
        HttpUpstreamResponse served = (HttpUpstreamResponse) reply;
        respond(
                HttpResponseStatus.OK,
                Headers.endToEnd(served.headers()).remove(Headers.LOAD),
                served.body());
    }

    @Override
    public void onRejected(long retryAfterNanos) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterNanos > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Headers.seconds(retryAfterNanos));
        }
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, NO_BODY);
    }

    @Override
    public void onFailed(FailureCause cause) {
        HttpResponseStatus status =
                switch (cause) {
                    case DEADLINE_EXCEEDED -> HttpResponseStatus.GATEWAY_TIMEOUT;
                    case UPSTREAM -> HttpResponseStatus.BAD_GATEWAY;
                    case ID_IN_USE -> HttpResponseStatus.CONFLICT;
                };
        respond(status, EmptyHttpHeaders.INSTANCE, NO_BODY);
    }

    @Override
    public void abort() {
        if (responseStream != null && !streamStarted) {
            // Nothing of it has been written: the client still gets a response, in its turn.
            responseStream.discard();
            responseStream = null;
            onFailed(FailureCause.UPSTREAM);
        } else if (isDelimitedByClose()) {
            connection.resetUnread();
        } else {
            connection.close();
        }
    }

    /** A response without length and chunks: an orderly end would make a part look complete. */
    private boolean isDelimitedByClose() {
        return responseStream != null && !chunkedAllowed && responseStream.length() < 0;
    }

    /** Responds with a short text; {@code allowed} are the methods that would have been right. */
    void respondText(HttpResponseStatus status, String text, HttpMethod... allowed) {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        if (allowed.length > 0) {
            headers.set(HttpHeaderNames.ALLOW, List.of(allowed));
        }
        respond(status, headers, (text + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private void respond(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
        response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer(content),
                        new DefaultHttpHeaders().set(headers),
                        EmptyHttpHeaders.INSTANCE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        connection.responses().writeReady();
    }
}
