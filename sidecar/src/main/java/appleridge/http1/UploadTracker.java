package appleridge.http1;

import appleridge.request.MonotonicClock;
import appleridge.request.UploadProgress;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * Tracks for a request whose body is streamed whether its client or its upstream is waited for. The
 * client is known not to have sent its last byte where all that it has sent has been read, or where
 * more is missing than the buffers of the operating systems can hold. Event loop only.
 */
final class UploadTracker {
    /** The default limit of a send buffer on Linux; the client's own is not known. */
    private static final long MAX_CLIENT_SEND_BUFFER_BYTES = 4 << 20;

    private final MonotonicClock clock;
    private final Channel channel;
    private final InputLagTracker inputLag;
    private long remainingBytes;
    private long lastIncompleteNanos;
    private boolean paused;
    private long pausedAtNanos;
    private long upstreamWaitNanos;
    private int pauses;

    /**
     * Creates a tracker.
     *
     * @param lengthBytes the length of the body without what has been read of it
     * @param startNanos a time at which the last byte had not been sent
     */
    UploadTracker(
            MonotonicClock clock,
            Channel channel,
            InputLagTracker inputLag,
            long lengthBytes,
            long startNanos) {
        this.clock = clock;
        this.channel = channel;
        this.inputLag = inputLag;
        this.remainingBytes = lengthBytes;
        this.lastIncompleteNanos = startNanos;
    }

    /** Records that bytes of the body are read. */
    void onRead(int bytes) {
        inputLag.onRead();
        update();
        remainingBytes -= bytes;
    }

    /** Records the end of a read, after {@link InputLagTracker#onReadComplete}. */
    void onReadComplete() {
        update();
    }

    /** Records that reading pauses, because the upstream can't take more. */
    void onPaused() {
        paused = true;
        pauses++;
        pausedAtNanos = clock.nanoTime();
    }

    /** Records that reading resumes. */
    void onResumed() {
        paused = false;
        upstreamWaitNanos += clock.nanoTime() - pausedAtNanos;
    }

    private void update() {
        if (remainingBytes > 0) {
            long incompleteNanos =
                    remainingBytes > maxUnreadBytes() ? clock.nanoTime() : inputLag.caughtUpNanos();
            lastIncompleteNanos = Math.max(lastIncompleteNanos, incompleteNanos);
        }
    }

    private long maxUnreadBytes() {
        if (remainingBytes <= MAX_CLIENT_SEND_BUFFER_BYTES) {
            return MAX_CLIENT_SEND_BUFFER_BYTES;
        }
        Integer receiveBuffer = channel.config().getOption(ChannelOption.SO_RCVBUF);
        return MAX_CLIENT_SEND_BUFFER_BYTES + (receiveBuffer == null ? 0 : receiveBuffer);
    }

    /** Returns the progress up to now. */
    UploadProgress progress() {
        update();
        long waitNanos = upstreamWaitNanos + (paused ? clock.nanoTime() - pausedAtNanos : 0);
        return new UploadProgress(
                lastIncompleteNanos, Math.max(0, remainingBytes), waitNanos, pauses);
    }
}
