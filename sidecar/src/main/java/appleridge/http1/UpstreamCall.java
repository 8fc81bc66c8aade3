package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.Endpoint;
import appleridge.request.SendDeadlines;
import appleridge.request.UpstreamTransport;
import appleridge.transport.Connector;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;

/**
 * One attempt of a request at an upstream. Ends exactly once, with an outcome or by cancellation.
 * Event loop only.
 */
final class UpstreamCall implements UpstreamTransport.AttemptHandle {
    /**
     * The shortest deadline that can be expressed: {@code X-Deadline} has three decimals of a
     * second.
     */
    private static final long MIN_REMAINING_NANOS = 1_000_000;

    /**
     * How long before the deadline the first bytes of a long response are passed on: ahead of the
     * timers that end the request at its deadline.
     */
    private static final long FIRST_BYTES_MARGIN_NANOS = 20_000_000;

    /** How late a final response may be: a client waits half a second beyond its timeout. */
    private static final long MAX_LATENESS_NANOS = 450_000_000;

    private final HttpUpstreamRequest request;
    private final SendDeadlines deadlines;
    private final UpstreamTransport.AttemptListener listener;
    private Connector.ConnectAttempt connecting;
    private Channel channel;
    private boolean fullyWritten;
    private boolean ended;

    UpstreamCall(
            HttpUpstreamRequest request,
            SendDeadlines deadlines,
            UpstreamTransport.AttemptListener listener) {
        this.request = request;
        this.deadlines = deadlines;
        this.listener = listener;
    }

    /** The id that the client gave the request. */
    String requestId() {
        return request.headers().get(Headers.REQUEST_ID);
    }

    /** Sets the connect that the attempt waits for. */
    void setConnecting(Connector.ConnectAttempt connect) {
        connecting = connect;
    }

    /**
     * Handles the end of the connect. Returns false if the attempt has ended meanwhile. From now on
     * the connection is not this attempt's own until it starts writing: others may be using it.
     */
    boolean onConnected() {
        connecting = null;
        if (!ended) {
            listener.onConnected();
        }
        return !ended;
    }

    /**
     * Whether the first byte may still be written. With less than a millisecond left, the upstream
     * would read a deadline of 0.
     */
    boolean mayWriteFirstByte(long now) {
        return now <= deadlines.firstByteByNanos()
                && deadlines.responseByNanos() - now >= MIN_REMAINING_NANOS;
    }

    /** Whether the first byte may be written now; if not, {@code resume} may run later. */
    boolean mayBegin(Runnable resume) {
        return listener.mayBegin(resume) && !ended;
    }

    /** Whether the attempt has ended. */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Whether there is a time after which the last byte must not be written, even though the
     * response is still awaited.
     */
    boolean hasLastByteDeadline() {
        return deadlines.lastByteByNanos() < Long.MAX_VALUE;
    }

    /** When the first bytes of a long response are passed on at the latest. */
    long firstBytesByNanos() {
        return deadlines.responseByNanos() - FIRST_BYTES_MARGIN_NANOS;
    }

    /** When the end of a short response must have been passed on, even if it comes late. */
    long lateResponseByNanos() {
        return deadlines.responseByNanos() + MAX_LATENESS_NANOS;
    }

    /** Whether the last byte may still be written. */
    boolean mayWriteLastByte(long now) {
        return now <= deadlines.lastByteByNanos() && !ended;
    }

    /**
     * Starts writing to a channel. Returns the message, with the remaining time as its deadline.
     */
    FullHttpRequest startWhole(Channel newChannel, Endpoint endpoint, long now) {
        channel = newChannel;
        return request.toFullRequest(endpoint.address(), deadlines.responseByNanos() - now);
    }

    /** The body if it is streamed; null if it is buffered whole. */
    StreamedBody streamedBody() {
        return request.streamedBody();
    }

    /**
     * Starts writing a request with a streamed body, which cannot be retried. Returns its head. The
     * deadline in it is the client's whole timeout, which runs from the last byte on.
     */
    HttpRequest startStreamed(Channel newChannel, Endpoint endpoint, long now) {
        channel = newChannel;
        return request.toRequestHead(endpoint.address(), deadlines.responseByNanos() - now);
    }

    /**
     * Notifies the listener that a streamed request has begun. Must not run inside the send call.
     */
    void notifyStreamingStarted() {
        if (!ended) {
            listener.onRequestStreamingStarted();
        }
    }

    /**
     * Records that the last byte has been written to the socket: the upstream may now run the
     * request.
     */
    void onLastByteWritten() {
        fullyWritten = true;
    }

    @Override
    public boolean hasStartedWriting() {
        return channel != null;
    }

    @Override
    public boolean isFullyWritten() {
        return fullyWritten;
    }

    @Override
    public boolean streamHeldResponse() {
        return !ended && channel != null && connection().streamHeldResponse();
    }

    private UpstreamConnection connection() {
        return channel.pipeline().get(UpstreamConnection.class);
    }

    /** Starts a streamed response. Returns false if it is not wanted any more. */
    boolean startResponseStream(StreamedBody body) {
        return !ended && listener.onResponseStarted(body);
    }

    /** Ends the attempt, unless it has ended. The response is null if there is none. */
    void end(Outcome outcome, HttpUpstreamResponse response) {
        if (!ended) {
            ended = true;
            listener.onAttemptEnded(outcome, response);
        }
    }

    /** Cancels the attempt and closes its connection, on which a response may still arrive. */
    @Override
    public void cancel() {
        if (!ended) {
            ended = true;
            if (channel != null) {
                // close() marks the connection as broken, so that its end cannot make a partial
                // response look complete.
                connection().close(UpstreamCloseReason.CANCELLED);
            } else if (connecting != null) {
                connecting.close();
            }
        }
    }
}
