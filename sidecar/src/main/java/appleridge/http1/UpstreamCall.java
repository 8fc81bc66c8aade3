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
 * One attempt of a request at an upstream: ends once, by an outcome or by being cancelled. Loop
 * thread only.
 */
final class UpstreamCall implements UpstreamTransport.AttemptHandle {
    /** The least time left that the protocol's three decimals of a second can say. */
    private static final long MIN_REMAINING_NANOS = 1_000_000;

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

    /** The connection for it is being opened. */
    void connecting(Connector.ConnectAttempt on) {
        connecting = on;
    }

    /** Its connection has come up; returns whether it is still wanted. */
    boolean onConnected() {
        if (!ended) {
            listener.onConnected();
        }
        return !ended;
    }

    /**
     * Whether its first byte may still be written. With less than a millisecond left its upstream
     * would read a deadline of zero.
     */
    boolean mayWriteFirstByte(long now) {
        return now <= deadlines.firstByteByNanos()
                && deadlines.responseByNanos() - now >= MIN_REMAINING_NANOS;
    }

    /**
     * Whether there is a time after which its last byte must not be written, though its response is
     * waited for.
     */
    boolean hasLastByteDeadline() {
        return deadlines.lastByteByNanos() < Long.MAX_VALUE;
    }

    /** Whether its last byte may still be written. */
    boolean mayWriteLastByte(long now) {
        return now <= deadlines.lastByteByNanos() && !ended;
    }

    /** The message to be written to a connection now; its deadline is the time that is left. */
    FullHttpRequest startWhole(Channel on, Endpoint endpoint, long now) {
        channel = on;
        return request.toFullRequest(endpoint.address(), deadlines.responseByNanos() - now);
    }

    /** The body where it is streamed; null where it is held whole. */
    StreamedBody streamedBody() {
        return request.streamedBody();
    }

    /**
     * The head of a request whose body is streamed: it begins now, and can't be retried. Its
     * deadline is the whole of its client's time, which runs from the last byte on.
     */
    HttpRequest startStreamed(Channel on, Endpoint endpoint, long now) {
        channel = on;
        return request.toRequestHead(endpoint.address(), deadlines.responseByNanos() - now);
    }

    /** Tells the listener that a streamed request has begun; not inside the call that sends it. */
    void notifyStreamingStarted() {
        if (!ended) {
            listener.onRequestStreamingStarted();
        }
    }

    /** Tells the listener, after {@link #notifyStreamingStarted}, that its last byte is written. */
    void notifyFullyWritten() {
        if (!ended) {
            listener.onRequestFullyWritten();
        }
    }

    /** The request's last byte is with the socket: from now on the upstream may run it. */
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

    /** Whether a response that is too long to be held is wanted. */
    boolean startResponseStream(StreamedBody answer) {
        return !ended && listener.onResponseStarted(answer);
    }

    /** Ends it, unless it has ended; the response is null where there is none. */
    void end(Outcome outcome, HttpUpstreamResponse reply) {
        if (!ended) {
            ended = true;
            listener.onAttemptEnded(outcome, reply);
        }
    }

    /** Cancels it; its connection is closed, for a response to it may still come. */
    @Override
    public void cancel() {
        if (!ended) {
            ended = true;
            if (channel != null) {
                // Closed as broken: an orderly end would make a complete response of a part.
                channel.pipeline().get(UpstreamConnection.class).close();
            } else if (connecting != null) {
                connecting.close();
            }
        }
    }
}
