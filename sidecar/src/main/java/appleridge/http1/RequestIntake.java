package appleridge.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
 * Assembles requests from what a client connection's decoder reads. A body up to {@link
 * MessageFraming#MAX_BUFFERED_BODY_BYTES} is held whole; a longer one with a known length is
 * streamed. Loop thread only.
 */
final class RequestIntake implements StreamedBody.Source {
    /**
     * Requests that may wait for responses on one connection, and that may begin in one read.
     *
     * <p>More end the connection. If reading stopped instead, a client's disconnect would not be
     * seen; and many in one read, even if answered at once, would make all other clients wait.
     */
    private static final int MAX_PIPELINED = 16;

    private static final int INITIAL_BODY_BYTES = 256;

    private final ClientConnection connection;
    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final StrictRequestDecoder decoder;
    private final ClientActivity activity;
    private final LingeringClose closing;
    private final ResponsePipeline responses;
    private final RequestDispatcher dispatcher;
    private HttpRequest head;
    private ByteBuf body;
    private ClientExchange uploading;
    private long uploadedBytes;
    private int requestsInRead;

    RequestIntake(
            ClientConnection connection,
            Channel channel,
            ReadActivityHandler readActivity,
            StrictRequestDecoder decoder,
            ClientActivity activity,
            LingeringClose closing,
            ResponsePipeline responses,
            RequestDispatcher dispatcher) {
        this.connection = connection;
        this.channel = channel;
        this.readActivity = readActivity;
        this.decoder = decoder;
        this.activity = activity;
        this.closing = closing;
        this.responses = responses;
        this.dispatcher = dispatcher;
    }

    /** Takes the next part of what the client sends. */
    void onMessage(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            onMalformed();
            return;
        }
        if (message instanceof HttpRequest request && !begin(request)) {
            return;
        }
        if (message instanceof HttpContent content) {
            if (uploading != null) {
                upload(content);
            } else if (head != null) {
                buffer(content);
            }
        }
    }

    private void onMalformed() {
        if (uploading != null) {
            cutUpload(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
        } else {
            reject(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
        }
    }

    /** Whether the request is taken, as far as its head tells; else it is rejected. */
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
        head = request;
        body = Unpooled.buffer(INITIAL_BODY_BYTES);
        if (HttpUtil.getContentLength(request, 0L) > MessageFraming.MAX_STREAMED_BODY_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
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

    private void buffer(HttpContent content) {
        if (body.readableBytes() + content.content().readableBytes()
                > MessageFraming.MAX_BUFFERED_BODY_BYTES) {
            streamInsteadOfBuffering(content);
            return;
        }
        body.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            HttpRequest complete = head;
            head = null;
            onComplete(complete, ByteBufUtil.getBytes(body));
        }
    }

    private void onComplete(HttpRequest request, byte[] content) {
        activity.onRequestReceived();
        readActivity.onMessageComplete(decoder.hasBufferedBytes());
        ClientExchange exchange = newExchange(request);
        closeInputBehindLast(exchange);
        dispatcher.dispatch(request, content, exchange);
    }

    private ClientExchange newExchange(HttpRequest request) {
        ClientExchange exchange =
                new ClientExchange(
                        connection,
                        HttpUtil.isKeepAlive(request),
                        request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        responses.add(exchange);
        return exchange;
    }

    /** What a client sends behind its last request gets no response, so it must have no effect. */
    private void closeInputBehindLast(ClientExchange exchange) {
        if (!exchange.isKeepAlive()) {
            closing.closeInput();
        }
    }

    /**
     * Only a body with a known length is streamed: chunks tell nothing of what is to come, and an
     * upstream would read up to the limit of what is no request.
     */
    private void streamInsteadOfBuffering(HttpContent content) {
        if (!HttpUtil.isContentLengthSet(head)) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large without a length");
            return;
        }
        beginUpload();
        if (uploading != null) {
            upload(content);
        }
    }

    /**
     * Takes a request whose body is too long to be held, with what has arrived of it: up to here a
     * slow sender has held no upstream's slot.
     */
    private void beginUpload() {
        HttpRequest request = head;
        head = null;
        activity.onRequestReceived();
        ClientExchange exchange = newExchange(request);
        exchange.uploadFrom(
                new StreamedBody(request.headers(), HttpUtil.getContentLength(request, -1L), this));
        uploading = exchange;
        uploadedBytes = body.readableBytes();
        dispatcher.dispatchUpload(request, body, exchange, activity.stateSinceNanos());
    }

    private void upload(HttpContent content) {
        ClientExchange exchange = uploading;
        uploadedBytes += content.content().readableBytes();
        if (uploadedBytes > MessageFraming.MAX_STREAMED_BODY_BYTES) {
            cutUpload(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            return;
        }
        exchange.upload().write(content.content().retain());
        if (content instanceof LastHttpContent) {
            uploading = null;
            activity.onUploadComplete();
            readActivity.onMessageComplete(decoder.hasBufferedBytes());
            closeInputBehindLast(exchange);
            exchange.upload().complete();
        }
    }

    /** Ends a request whose streamed body can't be completed: it is cancelled. */
    private void cutUpload(HttpResponseStatus status, String why) {
        ClientExchange exchange = uploading;
        uploading = null;
        closing.closeInput();
        exchange.upload().discard();
        dispatcher.onMalformedRequest();
        exchange.cancel();
        if (exchange.isStreamStarted()) {
            // Its response is being written and will not be completed; no other can take its place.
            channel.close();
        } else {
            exchange.respondText(status, why);
        }
    }

    /** Its response has been written: nothing more of the body that is uploaded is wanted. */
    void onUploadAbandoned() {
        uploading = null;
    }

    /** Rejects what can't be read on from: a response behind those owed, and the end. */
    private void reject(HttpResponseStatus status, String why) {
        dispatcher.onMalformedRequest();
        respondAndClose(status, why);
    }

    /** Takes nothing more, responds behind the responses owed, and closes the connection. */
    void respondAndClose(HttpResponseStatus status, String why) {
        connection.logClosed(status);
        closing.closeInput();
        head = null;
        ClientExchange exchange = new ClientExchange(connection, false, false);
        responses.add(exchange);
        exchange.respondText(status, why);
    }

    /** The upstream has enough to read. A disconnect is seen again when reading goes on. */
    @Override
    public void pause() {
        activity.onReadPaused();
        channel.config().setAutoRead(false);
    }

    @Override
    public void resume() {
        activity.onReadResumed();
        channel.config().setAutoRead(true);
    }

    /** Everything that the socket held has been read. */
    void onReadComplete() {
        requestsInRead = 0;
        activity.onReadComplete();
        if (uploading != null) {
            uploading.upload().flush();
        } else if (readActivity.hasPartialMessage()) {
            activity.onRequestStarted();
        }
    }

    /** Rejects the request that is being received if it takes too long; returns whether it does. */
    boolean rejectOverdue(long now, ClientTimeouts timeouts) {
        if (closing.isInputClosed()) {
            return false;
        }
        if (isReceptionOverdue(now, timeouts)) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
            return true;
        }
        if (uploading != null
                && !activity.isReadPaused()
                && activity.isRequestOverdue(now, timeouts, uploadedBytes)) {
            cutUpload(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
            return true;
        }
        return false;
    }

    private boolean isReceptionOverdue(long now, ClientTimeouts timeouts) {
        long bodyBytes = head == null ? 0 : body.readableBytes();
        return activity.isReceiving() && activity.isRequestOverdue(now, timeouts, bodyBytes);
    }
}
