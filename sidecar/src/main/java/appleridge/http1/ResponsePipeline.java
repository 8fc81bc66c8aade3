package appleridge.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The open requests of one client connection in the order of their arrival. Writes their responses
 * in the same order, as HTTP/1.1 pipelining requires. Event loop only.
 */
final class ResponsePipeline {
    /**
     * How long a response waits for the end of its request's body. Without the end the connection
     * closes after it, and requests that have been sent behind the body get no response.
     */
    private static final long MAX_UPLOAD_END_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final ClientConnection connection;
    private final ClientListener listener;
    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final ClientActivity activity;
    private final LingeringClose closing;
    private final WriteBacklog backlog;
    private final ArrayDeque<ClientExchange> exchanges = new ArrayDeque<>();

    ResponsePipeline(
            ClientConnection connection,
            ClientListener listener,
            Channel channel,
            ReadActivityHandler readActivity,
            ClientActivity activity,
            LingeringClose closing) {
        this.connection = connection;
        this.listener = listener;
        this.channel = channel;
        this.readActivity = readActivity;
        this.activity = activity;
        this.closing = closing;
        this.backlog = new WriteBacklog(channel, connection.loop());
    }

    /** Appends a request, whose response follows those of all earlier ones. */
    void add(ClientExchange exchange) {
        exchanges.add(exchange);
    }

    boolean isEmpty() {
        return exchanges.isEmpty();
    }

    /** Whether a request's response is not written yet. */
    boolean isWaiting(ClientExchange exchange) {
        return exchanges.contains(exchange);
    }

    int size() {
        return exchanges.size();
    }

    /** Whether a streamed request other than this one waits for an upstream. */
    boolean hasOtherWaitingUpload(ClientExchange exchange) {
        return exchanges.stream().anyMatch(each -> each != exchange && each.isUploadWaiting());
    }

    /** The responses that are written but not yet accepted by the kernel. */
    WriteBacklog backlog() {
        return backlog;
    }

    /** Writes responses in order, up to the first one that is not ready. */
    void writeReady() {
        while (!exchanges.isEmpty() && exchanges.peek().isWritable()) {
            ClientExchange first = exchanges.peek();
            if (awaitsUploadEnd(first)) {
                break;
            }
            boolean mayContinue =
                    first.responseStream() != null ? stream(first) : writeWhole(first);
            if (!mayContinue) {
                return;
            }
        }
        if (backlog.isPending()) {
            listener.onResponseUnread();
        }
        listener.onResponsesWritten();
    }

    /**
     * Whether a response waits for the end of its request's body, which is discarded. One to a
     * request whose time is up does not.
     */
    private boolean awaitsUploadEnd(ClientExchange exchange) {
        if (exchange.response() == null
                || !exchange.isUploadIncomplete()
                || !exchange.isKeepAlive()
                || exchange.response().status().equals(HttpResponseStatus.GATEWAY_TIMEOUT)
                || closing.isInputClosed()) {
            return false;
        }
        if (exchange.startAwaitingUploadEnd()) {
            exchange.upload().discard();
            connection
                    .loop()
                    .schedule(MAX_UPLOAD_END_WAIT_NANOS, () -> stopAwaitingUploadEnd(exchange));
        }
        return exchange.isUploadEndAwaited();
    }

    private void stopAwaitingUploadEnd(ClientExchange exchange) {
        exchange.stopAwaitingUploadEnd();
        if (isWaiting(exchange)) {
            writeReady();
        }
    }

    /** Writes a buffered response. Returns whether the next one may follow. */
    private boolean writeWhole(ClientExchange exchange) {
        if (backlog.pendingBytes() > WriteBacklog.MAX_PENDING_BYTES) {
            // Without this limit, unread responses of a pipelining client would accumulate here.
            connection.resetUnread();
            return false;
        }
        exchanges.poll().releaseResponse();
        boolean uploadIncomplete = exchange.isUploadIncomplete();
        boolean last =
                uploadIncomplete || !exchange.isKeepAlive() || endsForDrain(exchanges.size());
        FullHttpResponse response = exchange.response();
        setConnectionHeader(response, last);
        ChannelFuture written = channel.writeAndFlush(response);
        backlog.track(written);
        activity.onResponseActivity();
        if (uploadIncomplete) {
            closing.closeInputInUpload();
            connection.onUploadAbandoned();
            exchange.upload().discard();
        }
        if (last) {
            closeAfter(written);
            if (backlog.isPending()) {
                listener.onResponseUnread();
            }
            return false;
        }
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        return true;
    }

    /** Starts or ends a streamed response. Returns whether the next one may follow. */
    private boolean stream(ClientExchange exchange) {
        if (!exchange.isStreamStarted()) {
            startStream(exchange);
        }
        return exchange.isStreamComplete() && endStream(exchange);
    }

    /**
     * Writes the head of a streamed response and the part of its body received so far. An HTTP/1.0
     * client does not support chunks and takes the end of the connection as the end of the
     * response, so that only a reset tells it that a response is incomplete.
     */
    private void startStream(ClientExchange exchange) {
        StreamedBody body = exchange.responseStream();
        boolean chunked = exchange.isChunkedAllowed();
        boolean last =
                !exchange.isKeepAlive()
                        || !chunked && body.length() < 0
                        || exchange.isUploadIncomplete()
                        || endsForDrain(exchanges.size() - 1);
        exchange.onStreamStarted(last);
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.OK,
                        Headers.endToEnd(body.headers()).remove(Headers.LOAD));
        setConnectionHeader(head, last);
        if (body.length() >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        } else if (chunked) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        channel.config().setOption(ChannelOption.SO_SNDBUF, StreamedBody.SEND_BUFFER_BYTES);
        channel.config().setWriteBufferWaterMark(StreamedBody.WRITE_BUFFER_WATER_MARK);
        channel.write(head);
        body.attachTo(channel);
    }

    private boolean endStream(ClientExchange exchange) {
        exchanges.poll().releaseResponse();
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        backlog.track(written);
        activity.onResponseActivity();
        if (exchange.closesConnectionAfterStream()) {
            closeAfter(written);
            return false;
        }
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        if (exchanges.isEmpty()) {
            listener.onResponsesWritten();
        }
        return true;
    }

    /**
     * Whether the drain makes a response the last one on the connection.
     *
     * @param openBehind the number of open requests behind it
     */
    private boolean endsForDrain(int openBehind) {
        return listener.closesConnectionsAfterResponse()
                && openBehind == 0
                && !readActivity.hasPartialMessage();
    }

    private static void setConnectionHeader(HttpResponse response, boolean last) {
        response.headers()
                .set(
                        HttpHeaderNames.CONNECTION,
                        last ? HttpHeaderValues.CLOSE : HttpHeaderValues.KEEP_ALIVE);
    }

    private void closeAfter(ChannelFuture lastWrite) {
        closing.closeInput();
        lastWrite.addListener(done -> closing.linger());
    }

    /** Updates activity and backpressure when the channel becomes writable or full. */
    void onWritabilityChanged() {
        activity.onResponseActivity();
        StreamedBody streaming = streaming();
        if (streaming != null) {
            activity.onStreamProgress();
            streaming.updateBackpressure();
        }
    }

    /** Whether a response is being streamed and the client has read nothing of it for too long. */
    boolean isStreamStalled(long now) {
        return streaming() != null && !channel.isWritable() && activity.isStreamStalled(now);
    }

    /** The body of the response being streamed; null if there is none. */
    private StreamedBody streaming() {
        ClientExchange first = exchanges.peek();
        return first != null && first.isStreamStarted() && !first.isStreamComplete()
                ? first.responseStream()
                : null;
    }

    /** Ends all open requests in the order of their arrival, because the connection has closed. */
    void onChannelInactive() {
        while (!exchanges.isEmpty()) {
            exchanges.poll().onConnectionClosed();
        }
    }
}
