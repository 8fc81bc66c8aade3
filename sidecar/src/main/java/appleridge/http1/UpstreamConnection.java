package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.Endpoint;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * One connection to an upstream, which carries one request at a time: passes Netty's events to the
 * writer of the request and the reader of its response, ends the attempt, and decides whether the
 * connection is used again. Loop thread only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
        implements StreamedBody.Source {
    /**
     * For so long a streamed response may pause: nothing else can be tried any more, and its client
     * holds the beginning.
     */
    static final long MAX_STREAM_READ_STALL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final UpstreamConnectionPool pool;
    private final Channel channel;
    private final ReadActivityHandler readActivity;
    private final RequestWriter writer;
    private final ResponseReader reader;
    private final long readStallNanos;
    private SidecarEventLoop.ScheduledTask stallTimer;
    private Endpoint endpoint;
    private UpstreamCall call;
    private long idleSinceNanos;
    private boolean readPaused;

    /**
     * Nothing that has been read, or comes yet, counts. Set before each end of the connection but
     * the upstream's orderly one, which alone may end a response with neither length nor chunks.
     */
    private boolean broken;

    private UpstreamConnection(
            UpstreamConnectionPool pool,
            Channel channel,
            ReadActivityHandler readActivity,
            StrictResponseDecoder decoder,
            long readStallNanos) {
        this.pool = pool;
        this.channel = channel;
        this.readActivity = readActivity;
        this.writer = new RequestWriter(channel, pool.loop(), this::breakOff, this::onWriteFailed);
        this.reader = new ResponseReader(readActivity, decoder, this);
        this.readStallNanos = readStallNanos;
    }

    /**
     * Sets up the pipeline of a new connection.
     *
     * @param readStallNanos for which a response may pause once it has begun
     */
    static void install(Channel channel, UpstreamConnectionPool pool, long readStallNanos) {
        // By itself a long response's reads grow to 64 KiB each, held while a client is slow.
        channel.config().setRecvByteBufAllocator(StreamedBody.readAllocator());
        ReadActivityHandler readActivity = new ReadActivityHandler();
        StrictResponseDecoder decoder = new StrictResponseDecoder();
        channel.pipeline()
                .addLast(
                        readActivity,
                        decoder,
                        new RequestLineEncoder(),
                        new UpstreamConnection(
                                pool, channel, readActivity, decoder, readStallNanos));
    }

    UpstreamConnection open(Endpoint to) {
        endpoint = to;
        return this;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    private boolean isUsable() {
        return channel.isActive() && !readActivity.hasPartialMessage();
    }

    /**
     * Whether nothing has come since the last response, as far as the system holds it. Nothing in a
     * response tells which request it is for; a second copy of one, unread, would be taken for the
     * next request's.
     */
    boolean isQuiet() {
        if (channel.isActive()) {
            pool.readNow(channel);
        }
        return isUsable();
    }

    void close() {
        breakOff();
    }

    /** Nothing is open on it: it is offered to the next request. */
    void keep() {
        idleSinceNanos = pool.loop().nanoTime();
        pool.release(this);
    }

    /** Sends a request; to be called only while none is open. */
    void send(UpstreamCall next) {
        call = next;
        reader.reset();
        writer.write(next, endpoint);
    }

    private void onWriteFailed(Throwable cause) {
        reader.onWriteFailed(cause);
        breakOff();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        writer.onWritabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (broken) {
            return;
        }
        // Bytes that belong to no request would be taken for the next one's response.
        if (call == null || reader.hasOutcome() || message.decoderResult().isFailure()) {
            breakOff();
        } else if (!reader.onMessage(message, call)) {
            breakOff();
        }
    }

    /** The client has enough to read, and has its own time for that. */
    @Override
    public void pause() {
        readPaused = true;
        channel.config().setAutoRead(false);
        watchForStall();
    }

    @Override
    public void resume() {
        readPaused = false;
        channel.config().setAutoRead(true);
        watchForStall();
    }

    /**
     * Closes the connection, and discards all that comes behind this. What was read at once is
     * still handed on after a close; a part left out for its size, with a smaller one and the end
     * right behind it, would be served as a complete response with a hole.
     */
    private void breakOff() {
        broken = true;
        channel.close();
    }

    /** Without this, a response cut short on an open connection would be waited for in vain. */
    private void watchForStall() {
        if (stallTimer != null) {
            stallTimer.cancel();
            stallTimer = null;
        }
        if (call != null && readActivity.hasPartialMessage() && !readPaused) {
            long nanos = reader.isStreaming() ? MAX_STREAM_READ_STALL_NANOS : readStallNanos;
            stallTimer = pool.loop().schedule(nanos, this::breakOff);
        }
    }

    /**
     * Ends the attempt, and offers the connection again, only when all that came with the response
     * has been read: what follows a response must not meet the next request.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (reader.hasOutcome() && call != null) {
            UpstreamCall done = call;
            Outcome outcome = reader.outcome();
            HttpUpstreamResponse response = reader.response();
            boolean reusable = reader.isKeepAlive() && isUsable() && done.isFullyWritten();
            call = null;
            reader.release();
            writer.endUpload();
            reader.completeStream();
            if (reusable) {
                keep();
            } else {
                channel.close();
            }
            done.end(outcome, response);
        }
        reader.flushStream();
        watchForStall();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        UpstreamCall cut = call;
        call = null;
        writer.endUpload();
        reader.abortStream();
        if (cut != null) {
            Outcome outcome = OutcomeClassifier.ofClosedConnection(cut);
            cut.end(reader.hasOutcome() ? reader.outcome() : outcome, reader.response());
        }
        pool.onClosed(this);
        ctx.fireChannelInactive();
    }

    /** The connection is of no further use; what it carried ends in {@link #channelInactive}. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            pool.log().failure("a connection to " + endpoint + " failed", cause);
        }
        breakOff();
    }
}
