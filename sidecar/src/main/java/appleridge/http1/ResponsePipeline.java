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

/**
 * The open requests of one client connection, in the order in which they came, which is the order
 * in which their responses are written. Loop thread only.
 */
final class ResponsePipeline {
    /** Bytes of a streamed response that the system holds for its client. */
    private static final int STREAM_SEND_BUFFER_BYTES = 256 << 10;

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

    /** A request has come; its response is owed behind all others. */
    void add(ClientExchange exchange) {
        exchanges.add(exchange);
    }

    boolean isEmpty() {
        return exchanges.isEmpty();
    }

    int size() {
        return exchanges.size();
    }

    /** What has been written and the system has not taken. */
    WriteBacklog backlog() {
        return backlog;
    }

    /** Writes all responses that are ready and have none ahead of them that is not. */
    void writeReady() {
        while (!exchanges.isEmpty() && exchanges.peek().isWritable()) {
            ClientExchange first = exchanges.peek();
            boolean mayGoOn = first.responseStream() != null ? stream(first) : writeWhole(first);
            if (!mayGoOn) {
                return;
            }
        }
        if (backlog.isPending()) {
            listener.onResponseUnread();
        }
        listener.onResponsesWritten();
    }

    /** Writes a response that is held whole; returns whether the next one may follow. */
    private boolean writeWhole(ClientExchange exchange) {
        if (backlog.pendingBytes() > WriteBacklog.MAX_PENDING_BYTES) {
            // What a client asks for and doesn't read would pile up here.
            connection.resetUnread();
            return false;
        }
        exchanges.poll();
        boolean uploadIncomplete = exchange.isUploadIncomplete();
        boolean last =
                uploadIncomplete || !exchange.isKeepAlive() || endsForDrain(exchanges.size());
        FullHttpResponse response = exchange.response();
        setConnectionHeader(response, last);
        ChannelFuture written = channel.writeAndFlush(response);
        backlog.track(written);
        activity.onResponseActivity();
        if (uploadIncomplete) {
            connection.onUploadAbandoned();
            exchange.upload().discard();
        }
        if (last) {
            endBehind(written);
            if (backlog.isPending()) {
                listener.onResponseUnread();
            }
            return false;
        }
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        return true;
    }

    /** Starts a streamed response, or ends it; returns whether the next one may follow. */
    private boolean stream(ClientExchange exchange) {
        if (!exchange.isStreamStarted()) {
            startStream(exchange);
        }
        return exchange.isStreamComplete() && endStream(exchange);
    }

    /**
     * Writes a streamed response's head, and what has come of its body. A client of HTTP/1.0 knows
     * no chunks and takes the connection's end for the response's; only a reset shows it that a
     * response is not complete.
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
        // Left alone, the system's send buffer grows, and a slow client shows no progress for
        // seconds.
        channel.config().setOption(ChannelOption.SO_SNDBUF, STREAM_SEND_BUFFER_BYTES);
        channel.config().setWriteBufferWaterMark(StreamedBody.WRITE_BUFFER_WATER_MARK);
        channel.write(head);
        body.attachTo(channel);
    }

    private boolean endStream(ClientExchange exchange) {
        exchanges.poll();
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        backlog.track(written);
        activity.onResponseActivity();
        if (exchange.isConnectionEndedByStream()) {
            endBehind(written);
            return false;
        }
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        if (exchanges.isEmpty()) {
            listener.onResponsesWritten();
        }
        return true;
    }

    /** Whether the drain makes a response the last one, with so many open behind it. */
    private boolean endsForDrain(int openBehind) {
        return listener.isLastCall() && openBehind == 0 && !readActivity.hasPartialMessage();
    }

    private static void setConnectionHeader(HttpResponse response, boolean last) {
        response.headers()
                .set(
                        HttpHeaderNames.CONNECTION,
                        last ? HttpHeaderValues.CLOSE : HttpHeaderValues.KEEP_ALIVE);
    }

    private void endBehind(ChannelFuture lastWrite) {
        closing.closeInput();
        lastWrite.addListener(done -> closing.linger());
    }

    /** The client has taken some of what waits, or more waits for it than should. */
    void onWritabilityChanged() {
        activity.onResponseActivity();
        StreamedBody streaming = streaming();
        if (streaming != null) {
            activity.onStreamProgress();
            streaming.updateBackpressure();
        }
    }

    /** Whether a response is being streamed of which the client takes nothing. */
    boolean isStreamStalled(long now) {
        return streaming() != null && !channel.isWritable() && activity.isStreamStalled(now);
    }

    /** The response that is being streamed; null for none. */
    private StreamedBody streaming() {
        ClientExchange first = exchanges.peek();
        return first != null && first.isStreamStarted() && !first.isStreamComplete()
                ? first.responseStream()
                : null;
    }

    /** The connection is gone: all that is open ends, in the order in which it came. */
    void onChannelInactive() {
        while (!exchanges.isEmpty()) {
            exchanges.poll().onConnectionClosed();
        }
    }
}
