package appleridge.http1;

import appleridge.request.Endpoint;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Writes the requests of one upstream connection, one at a time. Event loop only. */
final class RequestWriter {
    /** How long an upstream may take nothing of a streamed request before it is aborted. */
    private static final long MAX_WRITE_STALL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Channel channel;
    private final SidecarEventLoop loop;
    private final Runnable onStall;
    private final Consumer<Throwable> onFailure;
    private final WriteBacklog backlog;
    private StreamedBody upload;
    private SidecarEventLoop.ScheduledTask stallTimer;

    /**
     * Creates a writer for one connection.
     *
     * @param onStall called when the upstream has taken nothing of a streamed request for too long
     * @param onFailure called with the cause when the last byte of a request could not be written
     */
    RequestWriter(
            Channel channel,
            SidecarEventLoop loop,
            Runnable onStall,
            Consumer<Throwable> onFailure) {
        this.channel = channel;
        this.loop = loop;
        this.onStall = onStall;
        this.onFailure = onFailure;
        this.backlog = new WriteBacklog(channel, loop);
    }

    /** The whole requests that are written but not yet accepted by the kernel. */
    WriteBacklog backlog() {
        return backlog;
    }

    /** Writes a request. A streamed body is written as its parts arrive. */
    void write(UpstreamCall call, Endpoint endpoint) {
        if (call.hasLastByteDeadline()) {
            channel.pipeline()
                    .addFirst(new FinalByteGate(() -> call.mayWriteLastByte(loop.nanoTime())));
        }
        if (call.streamedBody() == null) {
            ChannelFuture written =
                    channel.writeAndFlush(call.startWhole(channel, endpoint, loop.nanoTime()));
            trackLastByte(call, written);
            backlog.track(written);
            return;
        }
        channel.config().setWriteBufferWaterMark(StreamedBody.WRITE_BUFFER_WATER_MARK);
        channel.config().setOption(ChannelOption.SO_SNDBUF, StreamedBody.SEND_BUFFER_BYTES);
        channel.write(call.startStreamed(channel, endpoint, loop.nanoTime()));
        upload = call.streamedBody();
        loop.execute(call::notifyStreamingStarted);
        restartStallTimer();
        upload.attachTo(
                channel,
                () ->
                        trackLastByte(
                                call, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
    }

    private void trackLastByte(UpstreamCall call, ChannelFuture lastByte) {
        lastByte.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        onFailure.accept(done.cause());
                        return;
                    }
                    call.onLastByteWritten();
                });
    }

    /** Updates the stall timer and the backpressure when the channel becomes writable or full. */
    void onWritabilityChanged() {
        if (upload != null) {
            restartStallTimer();
            upload.updateBackpressure();
        }
    }

    /**
     * Restarts the stall timer: an upstream that stops reading must not block its client forever.
     */
    private void restartStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel();
            stallTimer = null;
        }
        if (upload != null && !channel.isWritable()) {
            stallTimer = loop.schedule(MAX_WRITE_STALL_NANOS, onStall);
        }
    }

    /** Stops writing a streamed request, whether complete or not, and discards the rest. */
    void endUpload() {
        if (upload != null) {
            StreamedBody ended = upload;
            upload = null;
            restartStallTimer();
            ended.discard();
        }
    }
}
