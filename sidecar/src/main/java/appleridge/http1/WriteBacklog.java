package appleridge.http1;

import appleridge.request.MonotonicClock;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the messages written to a peer that the kernel has not accepted yet, and for how long. A
 * buffered message usually fits into the kernel's buffers, so a backlog means that the peer does
 * not read. Event loop only.
 */
final class WriteBacklog {
    /**
     * The maximum number of pending bytes at which another response may be written: four of the
     * largest. Even a pipelining client is not so far behind for long.
     */
    static final long MAX_PENDING_BYTES = 4 * MessageFraming.MAX_BUFFERED_BODY_BYTES;

    /**
     * How long a response may wait for the kernel to accept it: as long as a request may take to
     * arrive, and longer than any latency objective.
     */
    static final long MAX_PENDING_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Channel channel;
    private final MonotonicClock clock;
    private int pendingWrites;
    private long pendingSinceNanos;

    WriteBacklog(Channel channel, MonotonicClock clock) {
        this.channel = channel;
        this.clock = clock;
    }

    /** Tracks the write of a message. */
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

    /** Whether the kernel has not accepted some message yet. */
    boolean isPending() {
        return pendingWrites > 0;
    }

    /** Whether a response has been pending, with no write completed, for at least this time. */
    boolean isPending(long now, long atLeastNanos) {
        return pendingWrites > 0 && now - pendingSinceNanos >= atLeastNanos;
    }

    /** When the oldest pending message became first in line. */
    long pendingSinceNanos() {
        return pendingSinceNanos;
    }

    /** The number of pending bytes; 0 if the connection has closed. */
    long pendingBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /**
     * Closes the connection with a reset, so that the kernel drops the data of a client that does
     * not read.
     */
    void reset() {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
