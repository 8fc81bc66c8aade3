package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.Endpoint;
import appleridge.request.SendDeadlines;
import appleridge.request.UpstreamTransport;
import appleridge.transport.Connector;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;

/** One request on its way to an upstream: ends once, by a result or by being abandoned. */
final class UpstreamCall implements UpstreamTransport.AttemptHandle {
    /** Nanoseconds. */
    private static final long SHORTEST = 1_000_000;

    private final HttpUpstreamRequest request;
    private final SendDeadlines window;
    private final UpstreamTransport.AttemptListener listener;
    private Connector.Connecting connecting;
    private Channel channel;
    private boolean written;
    private boolean over;

    UpstreamCall(
            HttpUpstreamRequest request,
            SendDeadlines window,
            UpstreamTransport.AttemptListener listener) {
        this.request = request;
        this.window = window;
        this.listener = listener;
    }

    void connecting(Connector.Connecting on) {
        connecting = on;
    }

    /** Its connection has come up: whether it is still wanted, now that this is known. */
    boolean connected() {
        if (!over) {
            listener.onConnected();
        }
        return !over;
    }

    /**
     * Whether its first byte may still go out. Danger: with less than a millisecond left, which is
     * what the protocol's three decimals tell, its upstream would be told of no time at all.
     */
    boolean mayBegin(long now) {
        return now <= window.firstByteByNanos() && window.responseByNanos() - now >= SHORTEST;
    }

    /**
     * Whether there is a time after which its last byte must not go out, though its answer is
     * waited for.
     */
    boolean mustEndInTime() {
        return window.lastByteByNanos() < Long.MAX_VALUE;
    }

    /** Whether its last byte may still go out. */
    boolean mayEnd(long now) {
        return now <= window.lastByteByNanos() && !over;
    }

    /** The message to be written to a connection now; it tells the time that is left. */
    FullHttpRequest begin(Channel on, Endpoint endpoint, long now) {
        channel = on;
        return request.message(endpoint.address(), window.responseByNanos() - now);
    }

    /** The body, where it is too long to be held; null else. */
    StreamedBody flow() {
        return request.flow();
    }

    /**
     * The head of a request whose body flows: it begins now, and can't be sent again. It tells the
     * whole of its client's time, which runs from its last byte on.
     */
    HttpRequest start(Channel on, Endpoint endpoint, long now) {
        channel = on;
        return request.start(endpoint.address(), window.responseByNanos() - now);
    }

    /** To be called once it has begun, and not inside the call that sends it. */
    void tellLetGo() {
        if (!over) {
            listener.onRequestStreamingStarted();
        }
    }

    /** To be called behind {@link #tellLetGo} when its last byte is with the socket. */
    void tellCommitted() {
        if (!over) {
            listener.onRequestFullyWritten();
        }
    }

    /** The request's last byte is with the socket: from now on the upstream may run it. */
    void lastByteWritten() {
        written = true;
    }

    @Override
    public boolean hasStartedWriting() {
        return channel != null;
    }

    @Override
    public boolean isFullyWritten() {
        return written;
    }

    /** Whether an answer that is too long to be held is wanted. */
    boolean begins(StreamedBody answer) {
        return !over && listener.onResponseStarted(answer);
    }

    void end(Outcome outcome, HttpUpstreamResponse reply) {
        if (!over) {
            over = true;
            listener.onAttemptEnded(outcome, reply);
        }
    }

    /** Gives the exchange up; its connection is closed, for an answer to it may still come. */
    @Override
    public void cancel() {
        if (!over) {
            over = true;
            if (channel != null) {
                // Danger: an end that looks like the upstream's would make a whole answer of a
                // part.
                channel.pipeline().get(UpstreamConnection.class).close();
            } else if (connecting != null) {
                connecting.close();
            }
        }
    }
}
