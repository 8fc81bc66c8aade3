package appleridge.http1;

import appleridge.request.MonotonicClock;
import appleridge.request.Scheduler;
import io.netty.channel.Channel;
import java.util.function.LongSupplier;

/**
 * Tracks up to when all that a client has sent is known to have been read, where reading may have
 * been paused; see {@link ReceiveWindowWatch}. Event loop only.
 */
final class InputLagTracker {
    private final LongSupplier earliestArrivalNanos;
    private final ReceiveWindowWatch window;
    private long caughtUpNanos;

    /** Whether the last read left nothing in the socket. */
    private boolean drained = true;

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
        this.earliestArrivalNanos = earliestArrivalNanos;
        this.window =
                new ReceiveWindowWatch(
                        clock,
                        scheduler,
                        channel,
                        readPendingInput,
                        ReceiveWindowWatch.WINDOW_OPEN_NANOS);
        this.caughtUpNanos = openedNanos;
    }

    /** Whether the client may have sent bytes that reading has not reached, because it paused. */
    boolean isBehind() {
        return window.isBehind();
    }

    /** The latest time at which all that the client had sent is known to have been read. */
    long caughtUpNanos() {
        return caughtUpNanos;
    }

    /** Records that reading pauses. */
    void onPaused() {
        window.begin();
    }

    /**
     * Records that input is being read. Until it arrived, all that the client had sent had been
     * read.
     */
    void onRead() {
        if (drained && !window.isBehind()) {
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
        window.onDrained(now, bytesRead);
        if (!window.isBehind()) {
            caughtUpNanos = now;
        }
    }
}
