package appleridge.http1;

import appleridge.transport.SidecarEventLoop;
import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Tracks when the client of a connection was last known to be connected. Three observations prove
 * it:
 *
 * <ul>
 *   <li>a read that finds neither bytes nor the connection's end
 *   <li>a poll of the event loop that does not find the connection ready, though it is read
 *   <li>bytes that were not there at an earlier time: their client sent them after that time
 * </ul>
 *
 * <p>None of them proves anything while bytes may be held back in the client's own system, because
 * the receive window was closed: its end is behind them; see {@link ReceiveWindowWatch}. Event loop
 * only.
 */
final class ClientPresenceTracker {
    /**
     * For how long an observation counts. No attempt may begin more than 0.1 s after its client has
     * disconnected; the rest of that time is for a lag of the loop and for the way of the bytes.
     */
    static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    /**
     * How long the window is open before silence proves that nothing is held back. Longer than the
     * minimum retransmission timeout of TCP on Linux (200 ms), after which a client's system
     * repeats a lost segment or asks again for the window.
     */
    private static final long WINDOW_OPEN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** After this time an observation still counts, but a newer one is looked for. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** An age that stands for an unknown one. */
    private static final long UNSEEN_NANOS = TimeUnit.HOURS.toNanos(1);

    private final SidecarEventLoop loop;
    private final Channel channel;
    private final ReceiveWindowWatch window;
    private final List<Runnable> waiting = new ArrayList<>();
    private boolean everSeen;
    private long seenNanos;

    /** Whether the last read left no bytes in the socket. */
    private boolean drained;

    private long readCompleteNanos;
    private long bytesRead;
    private long bytesReadWhenDrained;

    /**
     * Creates a tracker of a new connection.
     *
     * @param openedWithinNanos how long ago at most the client has connected
     * @param readPendingInput reads the channel until nothing is left, unless reading is paused
     */
    ClientPresenceTracker(
            SidecarEventLoop loop,
            Channel channel,
            long openedWithinNanos,
            Runnable readPendingInput) {
        this.loop = loop;
        this.channel = channel;
        this.window =
                new ReceiveWindowWatch(loop, loop, channel, readPendingInput, WINDOW_OPEN_NANOS);
        this.seenNanos = loop.nanoTime() - Math.min(openedWithinNanos, UNSEEN_NANOS);
        this.everSeen = openedWithinNanos < UNSEEN_NANOS;
    }

    /** Records that reading pauses. */
    void onPaused() {
        drained = false;
        window.begin();
    }

    /**
     * Records the end of a read, which may have met the end of the connection.
     *
     * @param totalBytesRead the number of bytes read since the connection was opened
     * @param nothingLeft whether it ended because of that, and not because of a limit or a pause
     */
    void onReadComplete(long now, long totalBytesRead, boolean nothingLeft) {
        if (totalBytesRead > bytesRead && drained && !window.isBehind()) {
            seen(lastPollNanos(now));
        }
        bytesRead = totalBytesRead;
        readCompleteNanos = now;
        drained = nothingLeft;
        if (!nothingLeft) {
            return;
        }
        if (ReceiveWindowWatch.mayHaveClosed(bytesRead - bytesReadWhenDrained)) {
            window.begin();
        }
        bytesReadWhenDrained = bytesRead;
        window.onDrained(now, bytesRead);
        wakeWaiting();
    }

    /**
     * Records a read that found neither bytes nor the end of the connection.
     *
     * @param beforeReadNanos a time before the read
     */
    void onNothingToRead(long beforeReadNanos) {
        if (!window.isBehind()) {
            seen(beforeReadNanos);
        }
    }

    private long lastPollNanos(long now) {
        return now - Math.min(loop.maxUnreadInputNanos(), UNSEEN_NANOS);
    }

    private void seen(long atNanos) {
        seenNanos = everSeen ? Math.max(seenNanos, atNanos) : atNanos;
        everSeen = true;
    }

    /** Whether the client was there within {@link #MAX_AGE_NANOS}, by what has been observed. */
    boolean isSeen(long now) {
        if (everSeen && now - seenNanos <= MAX_AGE_NANOS) {
            return true;
        }
        boolean polled = drained && !window.isBehind() && channel.config().isAutoRead();
        if (polled && lastPollNanos(now) - readCompleteNanos >= 0) {
            seen(lastPollNanos(now));
        }
        return everSeen && now - seenNanos <= MAX_AGE_NANOS;
    }

    /** Whether the client was there so recently that no newer observation is needed. */
    boolean isFreshlySeen(long now) {
        return everSeen && now - seenNanos <= FRESH_NANOS;
    }

    /** For how long the client has not been known to be there; {@link Long#MAX_VALUE} if never. */
    long seenAgoNanos(long now) {
        return everSeen ? now - seenNanos : Long.MAX_VALUE;
    }

    /** Runs a task once more may be known of the client; it may never run. */
    void whenMoreIsKnown(Runnable task) {
        waiting.add(task);
    }

    private void wakeWaiting() {
        if (!waiting.isEmpty() && !window.isBehind()) {
            List<Runnable> woken = List.copyOf(waiting);
            waiting.clear();
            woken.forEach(loop::execute);
        }
    }
}
