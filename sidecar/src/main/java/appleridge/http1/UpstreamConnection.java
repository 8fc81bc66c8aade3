package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.BufferBudget;
import appleridge.request.Endpoint;
import appleridge.request.LogEvent;
import appleridge.request.LogText;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * One connection to an upstream, which carries one request at a time. Passes Netty's events to
 * {@link RequestWriter} and {@link ResponseReader}, ends the attempt, and decides whether the
 * connection is reused. Event loop only.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject>
        implements StreamedBody.Source {
    /**
     * How long a streamed response may stall. Longer than for a buffered one, because it cannot be
     * retried: its client has already received the beginning.
     */
    static final long MAX_STREAM_READ_STALL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * How long a streamed response may stall that may still turn out to be short. A client waits
     * for the end of a short response, so that it is told soon that none comes.
     */
    private static final long MAX_SHORT_STREAM_READ_STALL_NANOS =
            TimeUnit.MILLISECONDS.toNanos(1200);

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
     * Whether all further input is ignored. Set before each close of the connection except the
     * upstream's orderly one, which alone may end a response with neither length nor chunks.
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
        this.writer =
                new RequestWriter(
                        channel,
                        pool.loop(),
                        () -> abort(UpstreamCloseReason.REQUEST_STALLED),
                        this::onWriteFailed);
        this.reader = new ResponseReader(readActivity, decoder, this, pool.loop());
        this.readStallNanos = readStallNanos;
    }

    /**
     * Sets up the pipeline of a new connection.
     *
     * @param readStallNanos how long a response may stall once it has begun
     */
    static void install(Channel channel, UpstreamConnectionPool pool, long readStallNanos) {
        // Netty's default grows reads to 64 KiB each, which are buffered while the client is slow.
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

    UpstreamConnection open(Endpoint newEndpoint) {
        endpoint = newEndpoint;
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
     * Whether nothing has arrived since the last response; pending input is read first. A response
     * does not tell which request it belongs to, so an unread duplicate of the last one would be
     * taken as the response to the next request.
     */
    boolean isQuiet() {
        if (channel.isActive()) {
            pool.readNow(channel);
        }
        return isUsable();
    }

    /** Closes the connection, and aborts the attempt on it if there is one. */
    void close(UpstreamCloseReason reason) {
        abort(reason);
    }

    /** Offers the connection, which has no open request, to the next one. */
    void keep() {
        idleSinceNanos = pool.loop().nanoTime();
        pool.release(this);
    }

    /** Sends a request. Must be called only while none is open. */
    void send(UpstreamCall next) {
        call = next;
        reader.reset(pool.reserveResponse(endpoint));
        writer.write(next, endpoint);
        pool.onWritten(this);
    }

    /** The requests that are written but not yet accepted by the kernel. */
    WriteBacklog writeBacklog() {
        return writer.backlog();
    }

    private void onWriteFailed(Throwable cause) {
        reader.onWriteFailed(cause);
        abort(UpstreamCloseReason.WRITE_FAILED);
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
        // Bytes that belong to no request would be taken as the response to the next one.
        if (call == null || reader.hasOutcome() || message.decoderResult().isFailure()) {
            abort(UpstreamCloseReason.UNUSABLE_RESPONSE);
        } else if (!reader.onMessage(message, call)) {
            abort(UpstreamCloseReason.UNUSABLE_RESPONSE);
        }
    }

    /** Pauses reading and the stall timer: the client has its own time limit for reading. */
    @Override
    public void pause() {
        readPaused = true;
        channel.config().setAutoRead(false);
        restartStallTimer();
    }

    @Override
    public void resume() {
        readPaused = false;
        channel.config().setAutoRead(true);
        restartStallTimer();
    }

    /**
     * Closes the connection and ignores all further input. Netty still passes on messages from the
     * same read after a close: if a part of a body were dropped for its size, a smaller part and
     * the end right behind it would complete a response with a gap.
     */
    private void abort(UpstreamCloseReason reason) {
        if (call != null && !broken) {
            logAborted(reason);
        }
        broken = true;
        channel.close();
    }

    private void logAborted(UpstreamCloseReason reason) {
        UpstreamCall aborted = call;
        pool.log()
                .event(
                        LogEvent.UPSTREAM_CONNECTION_CLOSED,
                        () ->
                                "id="
                                        + LogText.id(aborted.requestId())
                                        + " reason="
                                        + reason.label()
                                        + " upstream="
                                        + endpoint.upstream()
                                        + " request_written="
                                        + aborted.isFullyWritten()
                                        + reader.logFields(pool.loop().nanoTime())
                                        + " read_paused="
                                        + readPaused);
    }

    /**
     * Restarts the stall timer, which ends a response that stops arriving on an open connection. A
     * response that may be too long to be buffered is streamed instead.
     */
    private void restartStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel();
            stallTimer = null;
        }
        if (call == null || readPaused || !readActivity.hasPartialMessage()) {
            return;
        }
        if (reader.mayExceedBuffer()) {
            stallTimer =
                    pool.loop()
                            .scheduleAt(reader.holdUntilNanos(call), this::streamOrAbortResponse);
        } else {
            stallTimer =
                    pool.loop()
                            .scheduleAt(
                                    stalledAtNanos(pool.loop().nanoTime()),
                                    () -> abort(UpstreamCloseReason.RESPONSE_STALLED));
        }
    }

    /** When a response has stalled if nothing arrives from now on. */
    private long stalledAtNanos(long now) {
        if (!reader.isStreaming()) {
            return now + readStallNanos;
        }
        return reader.isKnownToExceedBuffer()
                ? now + MAX_STREAM_READ_STALL_NANOS
                : Math.max(now + MAX_SHORT_STREAM_READ_STALL_NANOS, call.lateResponseByNanos());
    }

    private void streamOrAbortResponse() {
        if (!streamHeldResponse()) {
            abort(UpstreamCloseReason.UNUSABLE_RESPONSE);
        }
    }

    /**
     * Streams a long response that is held for a retry from now on. Returns false if there is none.
     */
    boolean streamHeldResponse() {
        if (call == null || broken || !reader.streamHeld(call)) {
            return false;
        }
        restartStallTimer();
        return true;
    }

    /**
     * Ends the attempt and offers the connection for reuse, but only after all available input has
     * been read: bytes after a response must not be taken as the response to the next request.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (reader.hasOutcome() && call != null) {
            UpstreamCall finished = call;
            Outcome outcome = reader.outcome();
            HttpUpstreamResponse response = reader.response();
            boolean reusable = reader.isKeepAlive() && isUsable() && finished.isFullyWritten();
            BufferBudget.Reservation reserved = reader.takeReservation();
            call = null;
            reader.release();
            writer.endUpload();
            reader.completeStream();
            if (reusable) {
                keep();
            } else {
                channel.close();
            }
            finished.end(outcome, response);
            pool.releaseResponse(endpoint, reserved);
        }
        if (call != null && readActivity.hasPartialMessage() && !reader.reservePartialHead()) {
            abort(UpstreamCloseReason.UNUSABLE_RESPONSE);
        }
        reader.flushStream();
        restartStallTimer();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        UpstreamCall interrupted = call;
        call = null;
        writer.endUpload();
        reader.abortStream();
        if (interrupted != null) {
            Outcome outcome = OutcomeClassifier.ofClosedConnection(interrupted);
            interrupted.end(reader.hasOutcome() ? reader.outcome() : outcome, reader.response());
        }
        pool.releaseResponse(endpoint, reader.takeReservation());
        pool.onClosed(this);
        ctx.fireChannelInactive();
    }

    /** Closes the connection; its attempt ends in {@link #channelInactive}. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            pool.log().failure("connection to " + endpoint + " failed", cause);
        }
        abort(UpstreamCloseReason.IO_ERROR);
    }
}
