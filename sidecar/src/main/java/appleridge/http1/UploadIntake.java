package appleridge.http1;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;

/**
 * Receives the request body that a client connection is streaming, and pauses reading while neither
 * its target nor the read-ahead buffer takes more. Event loop only.
 */
final class UploadIntake implements StreamedBody.Source {
    /**
     * How long a body waits for an upstream before it waits for room to be read ahead. Most get an
     * upstream sooner.
     */
    private static final long READ_AHEAD_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

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

    /** The request whose body is being received; null if there is none. */
    private ClientExchange uploading;

    private long uploadedBytes;

    UploadIntake(
            ClientConnection connection,
            Channel channel,
            ReadActivityHandler readActivity,
            StrictRequestDecoder decoder,
            ClientActivity activity,
            InputLagTracker inputLag,
            LingeringClose closing,
            ResponsePipeline responses,
            RequestDispatcher dispatcher) {
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
    }

    /** Whether a body is being received. */
    boolean isReceiving() {
        return uploading != null;
    }

    /**
     * Dispatches a request with the part of its body received so far. Up to this point a slow
     * sender has not occupied a slot of an upstream.
     */
    void begin(RequestBuffer.Streamed request, ClientExchange exchange) {
        long arrivedNanos = connection.earliestArrivalNanos();
        ReadAheadBuffer readAhead =
                ReadAheadBuffer.reserving(
                        connection.buffers().readAhead(),
                        HttpUtil.getContentLength(request.head(), -1L),
                        this::retryReadAhead,
                        exchange::giveUp);
        receiveBody(
                request.head(),
                request.receivedPart().readableBytes(),
                exchange,
                readAhead,
                arrivedNanos);
        dispatcher.dispatchUpload(request, exchange, arrivedNanos);
        connection.loop().schedule(READ_AHEAD_DELAY_NANOS, () -> waitForReadAhead(exchange));
    }

    /**
     * Rejects a request because too many bytes are buffered. The rest of its body is read and
     * discarded, so that requests that the client has sent behind it get a response too.
     *
     * @param receivedBytes the part of the body that has been read
     */
    void reject(HttpRequest head, int receivedBytes, ClientExchange exchange) {
        receiveBody(
                head,
                receivedBytes,
                exchange,
                ReadAheadBuffer.unreserved(),
                connection.earliestArrivalNanos());
        exchange.upload().discard();
        dispatcher.rejectForBufferLimit(head, exchange);
    }

    private void receiveBody(
            HttpRequest head,
            int receivedBytes,
            ClientExchange exchange,
            ReadAheadBuffer readAhead,
            long arrivedNanos) {
        long length = HttpUtil.getContentLength(head, -1L);
        UploadTracker tracker =
                new UploadTracker(
                        connection.loop(), channel, inputLag, length - receivedBytes, arrivedNanos);
        exchange.setUpload(new StreamedBody(head.headers(), length, this, readAhead), tracker);
        uploading = exchange;
        uploadedBytes = receivedBytes;
    }

    /**
     * Waits for room to read a body ahead. One behind another that waits for an upstream does not
     * wait: each of them would hold room while none of their ends is seen.
     */
    private void waitForReadAhead(ClientExchange exchange) {
        exchange.upload().waitForReadAhead();
        if (exchange.isUploadWaiting()
                && exchange.upload().isPaused()
                && responses.hasOtherWaitingUpload(exchange)) {
            exchange.giveUp();
        }
    }

    /** Receives the next part of the body. */
    void receive(HttpContent content) {
        ClientExchange exchange = uploading;
        uploadedBytes += content.content().readableBytes();
        exchange.uploadTracker().onRead(content.content().readableBytes());
        if (uploadedBytes > MessageFraming.MAX_STREAMED_BODY_BYTES) {
            abort(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            return;
        }
        exchange.upload().write(content.content().retain());
        if (content instanceof LastHttpContent) {
            complete(exchange);
        }
    }

    private void complete(ClientExchange exchange) {
        uploading = null;
        activity.onUploadComplete();
        readActivity.onMessageComplete(decoder.hasBufferedBytes());
        closing.closeInputAfterLast(exchange);
        exchange.upload().complete();
        if (exchange.isAnswered()) {
            responses.writeReady();
        }
    }

    /**
     * Cancels a request whose body cannot be completed, and responds if that is still possible and
     * has not been done.
     */
    void abort(HttpResponseStatus status, String message) {
        ClientExchange exchange = uploading;
        uploading = null;
        closing.closeInput();
        exchange.upload().discard();
        dispatcher.onMalformedRequest();
        exchange.cancel();
        if (exchange.isStreamStarted()) {
            // A response is already being written and cannot be replaced by another one.
            channel.close();
        } else if (exchange.isAnswered()) {
            responses.writeReady();
        } else {
            exchange.respondText(status, message);
        }
    }

    /** Drops the rest of the body, because the response has been written already. */
    void abandon() {
        uploading = null;
    }

    /** Reads on where reading was paused, if more may be read ahead by now. */
    void retryReadAhead() {
        if (uploading != null) {
            uploading.upload().updateBackpressure();
        }
    }

    /** Handles the end of a read. */
    void onReadComplete() {
        uploading.uploadTracker().onReadComplete();
        uploading.upload().flush();
    }

    /** Aborts the request if its body takes too long. Returns whether it was aborted. */
    boolean abortOverdue(long now, ClientTimeouts timeouts) {
        if (uploading == null
                || activity.isReadPaused()
                || !activity.isRequestOverdue(now, timeouts, uploadedBytes)) {
            return false;
        }
        abort(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
        return true;
    }

    /**
     * Pauses reading: the target takes no more, and no more may be read ahead. A disconnect goes
     * unnoticed until reading resumes.
     */
    @Override
    public void pause() {
        activity.onReadPaused();
        inputLag.onPaused();
        presence.onPaused();
        if (uploading != null) {
            uploading.uploadTracker().onPaused();
        }
        channel.config().setAutoRead(false);
    }

    @Override
    public void resume() {
        activity.onReadResumed();
        if (uploading != null) {
            uploading.uploadTracker().onResumed();
        }
        channel.config().setAutoRead(true);
    }
}
