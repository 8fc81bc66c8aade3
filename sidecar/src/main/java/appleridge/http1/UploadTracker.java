package appleridge.http1;

import appleridge.request.MonotonicClock;
import appleridge.request.UploadProgress;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * Tracks for a request whose body is streamed whether its client or its upstream is waited for.
 * While reading from the client is paused, its last byte may be in the buffers of the operating
 * systems; how much of the body those can hold is bounded. Event loop only.
 */
final class UploadTracker {
    /** The default limit of a send buffer on Linux; the client's own is not known. */
    private static final long MAX_CLIENT_SEND_BUFFER_BYTES = 4 << 20;

    private final MonotonicClock clock;
    private final Channel channel;
    private long remainingBytes;
    private long lastIncompleteNanos;
    private boolean inputDrained;
    private boolean paused;
    private long pausedAtNanos;
    private long upstreamWaitNanos;

    /**
     * Creates a tracker.
     *
     * @param lengthBytes the length of the whole body
     * @param startNanos a time at which the last byte had not been sent
     */
    UploadTracker(MonotonicClock clock, Channel channel, long lengthBytes, long startNanos) {
        this.clock = clock;
        this.channel = channel;
        this.remainingBytes = lengthBytes;
        this.lastIncompleteNanos = startNanos;
    }

    /** Records that bytes of the body have been read. */
    void onRead(int bytes) {
        remainingBytes -= bytes;
    }

    /** Records the end of a read, and whether it left nothing unread in the socket. */
    void onReadComplete(boolean drained) {
        inputDrained = drained;
        update();
    }

    /** Records that reading pauses, because the upstream can't take more. */
    void onPaused() {
        paused = true;
        inputDrained = false;
        pausedAtNanos = clock.nanoTime();
    }

    /** Records that reading resumes. */
    void onResumed() {
        paused = false;
        upstreamWaitNanos += clock.nanoTime() - pausedAtNanos;
    }

    private void update() {
        boolean nothingUnread = inputDrained && !paused;
        if (remainingBytes > 0 && (nothingUnread || remainingBytes > maxUnreadBytes())) {
            lastIncompleteNanos = clock.nanoTime();
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
        return new UploadProgress(lastIncompleteNanos, remainingBytes <= 0, waitNanos);
    }
}
