package appleridge.http1;

import appleridge.request.MonotonicClock;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;

/**
 * How much of what is written to a client the system has not taken, and for how long. A response
 * mostly fits into the system's buffers: what waits here is for a client that does not read. Loop
 * thread only.
 */
final class WriteBacklog {
    /**
     * Bytes behind which no further response is written: four of the largest. Even a client that
     * pipelines is not so far behind for long.
     */
    static final long MAX_PENDING_BYTES = 4 * MessageFraming.MAX_BUFFERED_BODY_BYTES;

    /**
     * How long a response may wait for the system to take it: as long as a request may take to
     * arrive, and longer than any latency objective.
     */
    static final long MAX_PENDING_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Channel channel;
    private final MonotonicClock clock;
    private int pendingWrites;
    private long pendingSinceNanos;

    WriteBacklog(Channel channel, MonotonicClock time) {
        this.channel = channel;
        this.clock = time;
    }

    /** A response is being written. */
    void track(ChannelFuture written) {
        if (written.isDone()) {
            return;
        }
        if (pendingWrites++ == 0) {
            pendingSinceNanos = clock.nanoTime();
        }
        written.addListener(
                done -> {
                    pendingWrites--;
                    pendingSinceNanos = clock.nanoTime();
                });
    }

    /** Whether the system has not taken some response yet. */
    boolean isPending() {
        return pendingWrites > 0;
    }

    /** Whether it has not taken one for so many nanoseconds. */
    boolean isPending(long now, long atLeastNanos) {
        return pendingWrites > 0 && now - pendingSinceNanos >= atLeastNanos;
    }

    /** Since when the oldest response that waits could have been taken. */
    long pendingSinceNanos() {
        return pendingSinceNanos;
    }

    /** Bytes that wait; 0 where the connection has closed. */
    long pendingBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /**
     * Closes the connection with a reset, so that the system keeps nothing for a client that won't
     * read.
     */
    void reset() {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
