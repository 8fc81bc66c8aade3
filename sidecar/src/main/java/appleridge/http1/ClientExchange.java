package appleridge.http1;

import appleridge.request.AcceptedRequest;
import appleridge.request.BufferBudget;
import appleridge.request.BufferKind;
import appleridge.request.ClientPresence;
import appleridge.request.ResponseSink;
import appleridge.request.StreamedResponse;
import appleridge.request.UploadProgress;
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
 * One request of a client connection and its response. Converts the final result of the request to
 * an HTTP response, and holds that until {@link ResponsePipeline} writes it. Event loop only.
 */
final class ClientExchange implements ResponseSink {
    private static final byte[] NO_BODY = {};

    /** Whether the response waits for the end of the request's body. */
    private enum UploadEndWait {
        NOT_STARTED,
        STARTED,
        OVER
    }

    private final ClientConnection connection;
    private final boolean keepAlive;
    private final boolean chunkedAllowed;
    private FullHttpResponse response;
    private StreamedBody responseStream;
    private StreamedBody upload;

    /** Null if and only if the upload is. */
    private UploadTracker uploadTracker;

    private UploadEndWait uploadEndWait = UploadEndWait.NOT_STARTED;
    private boolean streamStarted;
    private boolean streamComplete;
    private boolean closeAfterStream;

    /** Null unless bytes are reserved for a response that waits or is streamed. */
    private BufferBudget.Reservation responseReservation;

    private AcceptedRequest accepted = AcceptedRequest.ENDED;

    /**
     * Creates an exchange without a response.
     *
     * @param keepAlive whether the client may use the connection for another request
     * @param chunkedAllowed whether the client's HTTP version has chunked bodies
     */
    ClientExchange(ClientConnection connection, boolean keepAlive, boolean chunkedAllowed) {
        this.connection = connection;
        this.keepAlive = keepAlive;
        this.chunkedAllowed = chunkedAllowed;
    }

    /** Sets the request once it has been accepted. */
    void onAccepted(AcceptedRequest request) {
        accepted = request;
    }

    /** Rejects the request unless a part of it has been sent, and drops the rest of its body. */
    void giveUp() {
        accepted.giveUp();
        if (isAnswered()) {
            upload.discard();
        }
    }

    /** Whether a streamed request body waits for an upstream. */
    boolean isUploadWaiting() {
        return upload != null && !isAnswered() && !upload.hasTarget();
    }

    /** Cancels the request. Further calls have no effect. */
    void cancel() {
        accepted.onClientDisconnected();
        accepted = AcceptedRequest.ENDED;
    }

    /** Sets the streamed request body. */
    void setUpload(StreamedBody body, UploadTracker tracker) {
        upload = body;
        uploadTracker = tracker;
    }

    /** Tracks how far the streamed request body has arrived; null if it was buffered whole. */
    UploadTracker uploadTracker() {
        return uploadTracker;
    }

    @Override
    public UploadProgress uploadProgress() {
        return uploadTracker.progress();
    }

    /** The streamed request body; null if the body was buffered whole. */
    StreamedBody upload() {
        return upload;
    }

    /** Whether a streamed request body has not arrived completely. */
    boolean isUploadIncomplete() {
        return upload != null && !upload.isComplete();
    }

    /** From now on the response waits for the end of the body. Returns false if it has before. */
    boolean startAwaitingUploadEnd() {
        if (uploadEndWait != UploadEndWait.NOT_STARTED) {
            return false;
        }
        uploadEndWait = UploadEndWait.STARTED;
        return true;
    }

    boolean isUploadEndAwaited() {
        return uploadEndWait == UploadEndWait.STARTED;
    }

    /** The response no longer waits for the end of the body. */
    void stopAwaitingUploadEnd() {
        uploadEndWait = UploadEndWait.OVER;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    boolean isChunkedAllowed() {
        return chunkedAllowed;
    }

    /**
     * Whether {@link ResponsePipeline} has something to write: a buffered response, or the start or
     * end of a streamed one.
     */
    boolean isWritable() {
        return response != null || responseStream != null && (!streamStarted || streamComplete);
    }

    /** Whether there is a buffered response, which may have been written already. */
    boolean isAnswered() {
        return response != null;
    }

    /** The buffered response; null while there is none. */
    FullHttpResponse response() {
        return response;
    }

    /** The body of a streamed response; null if there is none. */
    StreamedBody responseStream() {
        return responseStream;
    }

    boolean isStreamStarted() {
        return streamStarted;
    }

    boolean isStreamComplete() {
        return streamComplete;
    }

    /** Whether the connection closes after the streamed response. */
    boolean closesConnectionAfterStream() {
        return closeAfterStream;
    }

    /** Records that the head of the streamed response is being written. */
    void onStreamStarted(boolean closesConnection) {
        streamStarted = true;
        closeAfterStream = closesConnection;
    }

    /** Releases what is reserved for the response, which is written or will not be. */
    void releaseResponse() {
        if (responseReservation != null) {
            responseReservation.release();
        }
    }

    /** Cancels the request and discards streamed bodies, because the client has disconnected. */
    void onConnectionClosed() {
        accepted.onClientDisconnected();
        if (responseStream != null) {
            responseStream.discard();
        }
        if (upload != null) {
            upload.discard();
        }
        releaseResponse();
    }

    @Override
    public void readPendingInput() {
        if (!connection.readPendingInput()) {
            // Netty reports the end of a connection in a later task. Without cancelling here, the
            // caller would send an attempt for a client that has already disconnected.
            accepted.onClientDisconnected();
        }
    }

    @Override
    public ClientPresence clientPresence() {
        ClientPresence presence = connection.clientPresence();
        if (presence == ClientPresence.DISCONNECTED) {
            accepted.onClientDisconnected();
        }
        return presence;
    }

    @Override
    public void whenMoreIsKnownOfClient(Runnable task) {
        connection.presence().whenMoreIsKnown(task);
    }

    @Override
    public long clientSeenAgoNanos() {
        return connection.clientSeenAgoNanos();
    }

    @Override
    public boolean reserveStream() {
        responseReservation = connection.reserveResponse(BufferKind.STREAMED_RESPONSES);
        return responseReservation.resize(MessageFraming.STREAM_MEMORY_BYTES);
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
    public void onServed(UpstreamResponse upstreamResponse) {
        HttpUpstreamResponse served = (HttpUpstreamResponse) upstreamResponse;
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
            // Nothing has been written yet, so the client still gets a response, in its turn.
            responseStream.discard();
            responseStream = null;
            onFailed(FailureCause.UPSTREAM);
        } else if (isDelimitedByClose()) {
            connection.resetUnread();
        } else {
            connection.close();
        }
    }

    /**
     * Whether the end of the connection delimits the response, which has neither a length nor
     * chunks. An orderly close would then make a truncated response look complete.
     */
    private boolean isDelimitedByClose() {
        return responseStream != null && !chunkedAllowed && responseStream.length() < 0;
    }

    /**
     * Responds with a short text; {@code allowed} lists the methods for an Allow header, if any.
     */
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
        setResponse(status, headers, content);
        connection.responses().writeReady();
        if (content.length > 0 && connection.responses().isWaiting(this)) {
            reserveQueuedResponse(headers, content);
        }
    }

    /**
     * Reserves memory for a response that waits for the ones before it, or replaces it by a
     * failure: its request has been executed and cannot be rejected.
     */
    private void reserveQueuedResponse(HttpHeaders headers, byte[] content) {
        releaseResponse();
        responseReservation = connection.reserveResponse(BufferKind.QUEUED_RESPONSES);
        if (!responseReservation.resize(content.length + Headers.memoryBytes(headers))) {
            setResponse(HttpResponseStatus.BAD_GATEWAY, EmptyHttpHeaders.INSTANCE, NO_BODY);
        }
    }

    private void setResponse(HttpResponseStatus status, HttpHeaders headers, byte[] content) {
        response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer(content),
                        new DefaultHttpHeaders().set(headers),
                        EmptyHttpHeaders.INSTANCE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    }
}
