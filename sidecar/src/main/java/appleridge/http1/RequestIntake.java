package appleridge.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Assembles requests from the decoded messages of a client connection. A body of up to {@link
 * MessageFraming#MAX_BUFFERED_BODY_BYTES} is buffered whole; a longer one with a known length is
 * streamed. Event loop only.
 */
final class RequestIntake {
    /**
     * The maximum number of requests that await responses on one connection, and that begin in one
     * read.
     *
     * <p>A connection that exceeds it is closed. If reading paused instead, a disconnect of the
     * client would go unnoticed; and many requests in one read, even if answered at once, would
     * delay all other clients.
     */
    private static final int MAX_PIPELINED = 16;

    private final ClientConnection connection;
    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final StrictRequestDecoder decoder;
    private final ClientActivity activity;
    private final InputLagTracker inputLag;
    private final ClientPresenceTracker presence;
    private final LingeringClose closing;
    private final ResponsePipeline responses;
    private final RequestDispatcher dispatcher;
    private final RequestBuffer buffer;
    private final UploadIntake upload;
    private int requestsInRead;

    RequestIntake(
            ClientConnection connection,
            Channel channel,
            ReadActivityHandler readActivity,
            StrictRequestDecoder decoder,
            ClientActivity activity,
            InputLagTracker inputLag,
            LingeringClose closing,
            ResponsePipeline responses,
            RequestDispatcher dispatcher,
            RequestBuffer buffer) {
        this.buffer = buffer;
        this.connection = connection;
        this.channel = channel;
        this.readActivity = readActivity;
        this.decoder = decoder;
        this.activity = activity;
        this.inputLag = inputLag;
        this.presence = connection.presence();
        this.closing = closing;
        this.responses = responses;
        this.dispatcher = dispatcher;
        this.upload =
                new UploadIntake(
                        connection,
                        channel,
                        readActivity,
                        decoder,
                        activity,
                        inputLag,
                        closing,
                        responses,
                        dispatcher);
    }

    /** The body that is being streamed, if there is one. */
    UploadIntake upload() {
        return upload;
    }

    /** Processes the next decoded part of the input. */
    void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            onMalformed();
            return;
        }
        if (message instanceof HttpRequest request && !begin(request)) {
            return;
        }
        if (message instanceof HttpContent content) {
            if (upload.isReceiving()) {
                upload.receive(content);
            } else if (buffer.isReceivingBody()) {
                receive(content);
            }
        }
    }

    private void onMalformed() {
        if (upload.isReceiving()) {
            upload.abort(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
        } else {
            reject(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
        }
    }

    /** Begins a request. Returns false if its head shows that it must be rejected. */
    private boolean begin(HttpRequest request) {
        if (!MessageFraming.hasUnambiguousLength(request)) {
            reject(
                    HttpResponseStatus.BAD_REQUEST,
                    "the body's length can be read in more than one way");
            return false;
        }
        if (responses.size() >= MAX_PIPELINED || ++requestsInRead > MAX_PIPELINED) {
            reject(HttpResponseStatus.BAD_REQUEST, "too many requests at once");
            return false;
        }
        if (HttpUtil.getContentLength(request, 0L) > MessageFraming.MAX_STREAMED_BODY_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            return false;
        }
        buffer.begin(request);
        if (buffer.isOverLimit() && HttpUtil.is100ContinueExpected(request)) {
            rejectForBufferLimit(false);
            return false;
        }
        if (buffer.isOverLimit() && isLong(request)) {
            rejectUpload();
            return false;
        }
        if (HttpUtil.is100ContinueExpected(request) && responses.isEmpty()) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
        return true;
    }

    private void receive(HttpContent content) {
        if (buffer.bodyBytes() + content.content().readableBytes()
                > MessageFraming.MAX_BUFFERED_BODY_BYTES) {
            streamInsteadOfBuffering(content);
            return;
        }
        buffer.append(content.content());
        if (content instanceof LastHttpContent && buffer.isOverLimit()) {
            rejectForBufferLimit(HttpUtil.isKeepAlive(buffer.head()));
        } else if (content instanceof LastHttpContent) {
            onComplete(buffer.takeComplete());
        }
    }

    private void onComplete(RequestBuffer.Complete request) {
        activity.onRequestReceived();
        readActivity.onMessageComplete(decoder.hasBufferedBytes());
        ClientExchange exchange = newExchange(request.head());
        closing.closeInputAfterLast(exchange);
        dispatcher.dispatch(request, exchange);
    }

    /**
     * Rejects the request being received, because too many bytes are buffered. Where the body is
     * short, this waits for its end: the connection is kept, because requests that the client has
     * sent behind it must get a response too, and a client may take an early response for the end
     * of its request.
     */
    private void rejectForBufferLimit(boolean keepAlive) {
        HttpRequest request = buffer.head();
        buffer.discard();
        activity.onRequestReceived();
        readActivity.onMessageComplete(decoder.hasBufferedBytes());
        ClientExchange exchange = newExchange(request, keepAlive);
        closing.closeInputAfterLast(exchange);
        dispatcher.rejectForBufferLimit(request, exchange);
    }

    private static boolean isLong(HttpRequest request) {
        return HttpUtil.getContentLength(request, 0L) > MessageFraming.MAX_BUFFERED_BODY_BYTES;
    }

    private ClientExchange newExchange(HttpRequest request) {
        return newExchange(request, HttpUtil.isKeepAlive(request));
    }

    private ClientExchange newExchange(HttpRequest request, boolean keepAlive) {
        ClientExchange exchange =
                new ClientExchange(
                        connection,
                        keepAlive,
                        request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        responses.add(exchange);
        return exchange;
    }

    /**
     * Streams a body that is too long to be buffered. Rejects one without a known length: its size
     * cannot be checked in advance, and an upstream would read up to the limit of a request that is
     * rejected in the end.
     */
    private void streamInsteadOfBuffering(HttpContent content) {
        if (!HttpUtil.isContentLengthSet(buffer.head())) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large without a length");
            return;
        }
        if (reserveStream()) {
            RequestBuffer.Streamed request = buffer.takeStreamed();
            activity.onRequestReceived();
            upload.begin(request, newExchange(request.head()));
        } else {
            rejectUpload();
        }
        if (upload.isReceiving()) {
            upload.receive(content);
        }
    }

    private void rejectUpload() {
        HttpRequest request = buffer.head();
        int receivedBytes = buffer.bodyBytes();
        buffer.discard();
        activity.onRequestReceived();
        upload.reject(request, receivedBytes, newExchange(request));
    }

    /** A body that waits for room is given up for one that may be sent at once. */
    private boolean reserveStream() {
        boolean reserved = buffer.reserveStream();
        while (!reserved && connection.buffers().readAhead().giveUpFirst()) {
            reserved = buffer.reserveStream();
        }
        return reserved;
    }

    /** Rejects malformed input after which no further request can be read. */
    private void reject(HttpResponseStatus status, String message) {
        dispatcher.onMalformedRequest();
        respondAndClose(status, message);
    }

    /** Discards further input, responds after the pending responses, and closes the connection. */
    void respondAndClose(HttpResponseStatus status, String message) {
        connection.logClosed(status);
        closing.closeInput();
        buffer.discard();
        ClientExchange exchange = new ClientExchange(connection, false, false);
        responses.add(exchange);
        exchange.respondText(status, message);
    }

    /** Handles the end of a read, after which all available input has been processed. */
    void onReadComplete() {
        requestsInRead = 0;
        long now = connection.loop().nanoTime();
        activity.onReadComplete(now);
        // Before the flush, which may resume reading although the read ended at a pause.
        boolean nothingLeft = channel.config().isAutoRead() && !readActivity.hasReachedReadLimit();
        inputLag.onReadComplete(now, readActivity.bytesRead(), nothingLeft);
        presence.onReadComplete(now, readActivity.bytesRead(), nothingLeft);
        if (upload.isReceiving()) {
            upload.onReadComplete();
        } else if (readActivity.hasPartialMessage()) {
            activity.onRequestStarted();
        }
    }

    /** Drops the request being received, because the connection has closed. */
    void onChannelInactive() {
        buffer.discard();
    }

    /** Rejects the request being received if it takes too long. Returns whether it was rejected. */
    boolean rejectOverdue(long now, ClientTimeouts timeouts) {
        if (closing.isInputClosed()) {
            return false;
        }
        if (isReceptionOverdue(now, timeouts)) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
            return true;
        }
        return upload.abortOverdue(now, timeouts);
    }

    private boolean isReceptionOverdue(long now, ClientTimeouts timeouts) {
        return activity.isReceiving()
                && activity.isRequestOverdue(now, timeouts, buffer.bodyBytes());
    }
}
