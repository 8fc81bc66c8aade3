package appleridge.http1;

import appleridge.request.MonotonicClock;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Sees how much of what is written towards a client the system has not taken yet, and for how long.
 * An answer mostly fits into the system's own buffers: what waits here is for a client that has not
 * read for long.
 */
final class WriteBacklog {
    /**
     * Bytes behind which no further answer is written. Clients ask one at a time and have read one
     * answer when the next is written; even one that asks ahead is not four of the largest answers
     * behind for long.
     */
    static final long MOST_BEHIND = 4 * MessageFraming.MAX_BODY;

    /**
     * How long an answer may wait for the system to take it, in nanoseconds: as long as a request
     * may take to come in. Longer than any aim, and no client waits much longer for its answer.
     */
    static final long LONGEST_WAIT = TimeUnit.SECONDS.toNanos(2);

    private final Channel channel;
    private final MonotonicClock time;
    private int waiting;
    private long since;

    WriteBacklog(Channel channel, MonotonicClock time) {
        this.channel = channel;
        this.time = time;
    }

    /** An answer is being written. */
    void follow(ChannelFuture written) {
        if (written.isDone()) {
            return;
        }
        if (waiting++ == 0) {
            since = time.nanoTime();
        }
        written.addListener(
                done -> {
                    waiting--;
                    since = time.nanoTime();
                });
    }

    /** Whether an answer has not been taken by the system yet. */
    boolean waits() {
        return waiting > 0;
    }

    /** Whether one has not been taken for so many nanoseconds. */
    boolean waits(long now, long atLeast) {
        return waiting > 0 && now - since >= atLeast;
    }

    /** Since when the oldest answer that waits may have been taken. */
    long since() {
        return since;
    }

    /** Bytes that wait. */
    long bytes() {
        ChannelOutboundBuffer behind = channel.unsafe().outboundBuffer();
        return behind == null ? 0 : behind.totalPendingWriteBytes();
    }

    /**
     * Closes the connection with a reset, so that the system keeps nothing for a client that won't
     * read.
     */
    void cutOff() {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
