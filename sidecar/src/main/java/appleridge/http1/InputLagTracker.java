package appleridge.http1;

import appleridge.request.MonotonicClock;
import appleridge.request.Scheduler;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tracks up to when all that a client has sent is known to have been read.
 *
 * <p>While reading is paused, the receive window closes, and what the client sends stays in its own
 * system's send buffer. Reading is behind then, and an empty socket proves nothing: its read opens
 * the window, and only then does the client's system send the rest. Reading has caught up again
 * when the window has been open for {@link #WINDOW_OPEN_NANOS} and too little has arrived in that
 * time to have closed it: a system with unsent bytes would have filled it at once. This depends on
 * the systems alone, so a stall of the event loop or of the client proves nothing either way. Event
 * loop only.
 */
final class InputLagTracker {
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

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Channel channel;
    private final LongSupplier earliestArrivalNanos;
    private final Runnable readPendingInput;
    private long caughtUpNanos;
    private boolean behind;

    /** Whether the last read left nothing in the socket. */
    private boolean drained = true;

    /** Whether the socket has been read empty since reading was resumed. */
    private boolean windowOpen;

    private long windowOpenedNanos;
    private long bytesReadBeforeWindowOpened;
    private boolean checkScheduled;

    /**
     * Creates a tracker of a new connection, which is not behind.
     *
     * @param openedNanos when the connection was opened
     * @param earliestArrivalNanos returns the earliest time at which input that is read now, and
     *     was not there at the last read, may have arrived
     * @param readPendingInput reads the channel until nothing is left, unless reading is paused
     */
    InputLagTracker(
            MonotonicClock clock,
            Scheduler scheduler,
            long openedNanos,
            Channel channel,
            LongSupplier earliestArrivalNanos,
            Runnable readPendingInput) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.channel = channel;
        this.earliestArrivalNanos = earliestArrivalNanos;
        this.readPendingInput = readPendingInput;
        this.caughtUpNanos = openedNanos;
    }

    /** Whether the client may have sent bytes that reading has not reached, because it paused. */
    boolean isBehind() {
        return behind;
    }

    /** The latest time at which all that the client had sent is known to have been read. */
    long caughtUpNanos() {
        return caughtUpNanos;
    }

    /** Records that reading pauses. */
    void onPaused() {
        behind = true;
        windowOpen = false;
    }

    /**
     * Records that input is being read. Until it arrived, all that the client had sent had been
     * read.
     */
    void onRead() {
        if (drained && !behind) {
            caughtUpNanos = Math.max(caughtUpNanos, earliestArrivalNanos.getAsLong());
        }
        drained = false;
    }

    /**
     * Records the end of a read.
     *
     * @param now the time of that end
     * @param bytesRead the number of bytes read since the connection was opened
     * @param nothingLeft whether it ended because of that, and not because of a limit or a pause
     */
    void onReadComplete(long now, long bytesRead, boolean nothingLeft) {
        drained = nothingLeft;
        if (!drained) {
            return;
        }
        if (behind) {
            watchWindow(now, bytesRead);
        }
        if (!behind) {
            caughtUpNanos = now;
        }
    }

    private void watchWindow(long now, long bytesRead) {
        if (!windowOpen || bytesRead - bytesReadBeforeWindowOpened >= minWindowBytes()) {
            windowOpen = true;
            windowOpenedNanos = now;
            bytesReadBeforeWindowOpened = bytesRead;
            scheduleCheck();
        } else if (now - windowOpenedNanos >= WINDOW_OPEN_NANOS) {
            behind = false;
        }
    }

    private long minWindowBytes() {
        Integer receiveBuffer = channel.config().getOption(ChannelOption.SO_RCVBUF);
        return (receiveBuffer == null ? MIN_RECEIVE_BUFFER_BYTES : receiveBuffer)
                / MIN_WINDOW_DIVISOR;
    }

    /** Without the check a client that sends a full window now and then would look behind. */
    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            scheduler.scheduleAt(windowOpenedNanos + WINDOW_OPEN_NANOS, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        if (!windowOpen || !behind || !channel.isActive()) {
            return;
        }
        if (clock.nanoTime() - windowOpenedNanos >= WINDOW_OPEN_NANOS) {
            readPendingInput.run();
        } else {
            scheduleCheck();
        }
    }
}
