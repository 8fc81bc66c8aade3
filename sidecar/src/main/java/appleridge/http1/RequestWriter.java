package appleridge.http1;

import appleridge.request.Endpoint;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Writes the requests of one upstream connection, one after the other. Loop thread only. */
final class RequestWriter {
    /** A streamed request of which the upstream takes nothing for so long is broken off. */
    private static final long MAX_WRITE_STALL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Channel channel;
    private final SidecarEventLoop loop;
    private final Runnable onStall;
    private final Consumer<Throwable> onFailure;
    private StreamedBody upload;
    private SidecarEventLoop.ScheduledTask stallTimer;

    /**
     * For one connection.
     *
     * @param onStall called where the upstream takes nothing of a streamed request any more
     * @param onFailure called with the cause where a request's last byte could not be written
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
    }

    /** Writes a request, or its head where the body is streamed. */
    void write(UpstreamCall call, Endpoint endpoint) {
        if (call.hasLastByteDeadline()) {
            channel.pipeline()
                    .addFirst(new FinalByteGate(() -> call.mayWriteLastByte(loop.nanoTime())));
        }
        if (call.streamedBody() == null) {
            follow(
                    call,
                    channel.writeAndFlush(call.startWhole(channel, endpoint, loop.nanoTime())));
            return;
        }
        channel.config().setWriteBufferWaterMark(StreamedBody.WRITE_BUFFER_WATER_MARK);
        channel.write(call.startStreamed(channel, endpoint, loop.nanoTime()));
        upload = call.streamedBody();
        loop.execute(call::notifyStreamingStarted);
        watchForStall();
        upload.attachTo(
                channel,
                () -> follow(call, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
    }

    private void follow(UpstreamCall call, ChannelFuture lastByte) {
        lastByte.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        onFailure.accept(done.cause());
                        return;
                    }
                    call.onLastByteWritten();
                    if (call.streamedBody() != null) {
                        loop.execute(call::notifyFullyWritten);
                    }
                });
    }

    /** The upstream has taken some of a streamed request, or more waits for it than should. */
    void onWritabilityChanged() {
        if (upload != null) {
            watchForStall();
            upload.updateBackpressure();
        }
    }

    /** Without this, an upstream that stops reading would hold its client's connection for good. */
    private void watchForStall() {
        if (stallTimer != null) {
            stallTimer.cancel();
            stallTimer = null;
        }
        if (upload != null && !channel.isWritable()) {
            stallTimer = loop.schedule(MAX_WRITE_STALL_NANOS, onStall);
        }
    }

    /** Nothing more of a streamed request goes to this upstream, complete or not. */
    void endUpload() {
        if (upload != null) {
            StreamedBody ended = upload;
            upload = null;
            watchForStall();
            ended.discard();
        }
    }
}
