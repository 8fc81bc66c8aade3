package appleridge.http1;

import appleridge.request.MonotonicClock;
import appleridge.request.Scheduler;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.concurrent.TimeUnit;

/**
 * Tells when a connection whose receive window may have been closed has been read up to all that
 * its client has sent.
 *
 * <p>While nobody reads, the receive window closes, and what the client sends stays in its own
 * system's send buffer. An empty socket proves nothing then: its read opens the window, and only
 * then does the client's system send the rest. Reading has caught up again when the window has been
 * open for some time and too little has arrived in that time to have closed it: a system with
 * unsent bytes would have filled it at once. This depends on the systems alone, so a stall of the
 * event loop or of the client proves nothing either way. Event loop only.
 */
final class ReceiveWindowWatch {
    /**
     * How long the window is open before silence proves that the client's system has nothing
     * unsent. Longer than the 40 ms for which an acknowledgement may be delayed that the sender
     * waits for (Nagle's algorithm).
     */
    static final long WINDOW_OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** A window that fills brings at least the receive buffer's size divided by this. */
    private static final int MIN_WINDOW_DIVISOR = 4;

    /** Used where the size of the receive buffer is not known; the minimum of Linux. */
    private static final int MIN_RECEIVE_BUFFER_BYTES = 2304;

    /**
     * The window of a new connection, at least. It grows more slowly than the receive buffer, so
     * that the buffer's size alone does not show that the window has not been closed.
     */
    private static final int MIN_INITIAL_WINDOW_BYTES = 32 << 10;

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Channel channel;
    private final Runnable readPendingInput;
    private final long minOpenNanos;

    /** Whether the socket has been read empty since the watch began. */
    private boolean open;

    private boolean watching;
    private long openedNanos;
    private long bytesReadBefore;
    private boolean checkScheduled;

    /**
     * Creates a watch of a connection whose window is known to be open.
     *
     * @param readPendingInput reads the channel until nothing is left, unless reading is paused
     * @param minOpenNanos how long the window is open before silence proves something
     */
    ReceiveWindowWatch(
            MonotonicClock clock,
            Scheduler scheduler,
            Channel channel,
            Runnable readPendingInput,
            long minOpenNanos) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.channel = channel;
        this.readPendingInput = readPendingInput;
        this.minOpenNanos = minOpenNanos;
    }

    /** Begins the watch anew: the window may be closed now. */
    void begin() {
        watching = true;
        open = false;
    }

    /** Whether the client may have sent bytes that reading has not reached. */
    boolean isBehind() {
        return watching;
    }

    /**
     * Records that the socket has been read empty, which ends the watch if reading has caught up.
     *
     * @param bytesRead the number of bytes read since the connection was opened
     */
    void onDrained(long now, long bytesRead) {
        if (!watching) {
            return;
        }
        if (!open || hasFilled(bytesRead - bytesReadBefore)) {
            open = true;
            openedNanos = now;
            bytesReadBefore = bytesRead;
            scheduleCheck();
        } else if (now - openedNanos >= minOpenNanos) {
            watching = false;
        }
    }

    /** Whether so many bytes, unread, may have closed the window of any connection. */
    static boolean mayHaveClosed(long bytes) {
        return bytes >= MIN_INITIAL_WINDOW_BYTES;
    }

    /** Whether so many bytes may have filled the window again. */
    private boolean hasFilled(long bytes) {
        Integer receiveBuffer = channel.config().getOption(ChannelOption.SO_RCVBUF);
        int bufferBytes = receiveBuffer == null ? MIN_RECEIVE_BUFFER_BYTES : receiveBuffer;
        return bytes >= bufferBytes / MIN_WINDOW_DIVISOR;
    }

    /** Without the check a client that sends a full window now and then would look behind. */
    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            scheduler.scheduleAt(openedNanos + minOpenNanos, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        if (!open || !watching || !channel.isActive()) {
            return;
        }
        if (clock.nanoTime() - openedNanos >= minOpenNanos) {
            readPendingInput.run();
        } else {
            scheduleCheck();
        }
    }
}
