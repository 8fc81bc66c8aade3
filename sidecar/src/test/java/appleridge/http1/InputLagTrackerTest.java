package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.request.Scheduler;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What the reads of a connection prove about how much its client has sent. */
class InputLagTrackerTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** More than the part of the receive buffer that a filled window brings. */
    private static final int FULL_WINDOW_BYTES = 4096;

    private static final int FEW_BYTES = 100;

    private record Timer(long atNanos, Runnable task) {}

    /** Runs tasks when {@link #advance} reaches their time. */
    private final class VirtualTime implements Scheduler {
        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>(Comparator.comparingLong(Timer::atNanos));

        @Override
        public ScheduledTask scheduleAt(long atNanos, Runnable task) {
            Timer timer = new Timer(atNanos, task);
            timers.add(timer);
            return () -> timers.remove(timer);
        }

        @Override
        public void execute(Runnable task) {
            scheduleAt(now, task);
        }

        void advance(long nanos) {
            long end = now + nanos;
            while (!timers.isEmpty() && timers.peek().atNanos() <= end) {
                Timer next = timers.poll();
                now = Math.max(now, next.atNanos());
                next.task().run();
            }
            now = end;
        }
    }

    private final VirtualTime time = new VirtualTime();
    private long now = TimeUnit.SECONDS.toNanos(1);
    private long bytesRead;
    private int unreadBytes;
    private final InputLagTracker tracker =
            new InputLagTracker(
                    () -> now, time, now, new EmbeddedChannel(), () -> now, this::readPendingInput);

    private void readPendingInput() {
        read(unreadBytes);
        unreadBytes = 0;
    }

    private void read(int bytes) {
        if (bytes > 0) {
            tracker.onRead();
            bytesRead += bytes;
        }
        tracker.onReadComplete(now, bytesRead, true);
    }

    private long pause(long nanos) {
        read(FEW_BYTES);
        long pausedAt = now;
        tracker.onPaused();
        tracker.onReadComplete(now, bytesRead, false);
        time.advance(nanos);
        return pausedAt;
    }

    /** Guards against an empty socket right behind a pause that is taken for a slow client. */
    @Test
    void emptySocketBehindAPauseProvesNothing() {
        long pausedAt = pause(800 * MILLI);
        read(FULL_WINDOW_BYTES);
        read(0);
        time.advance(MILLI);
        read(FULL_WINDOW_BYTES);
        assertTrue(tracker.isBehind());
        assertEquals(pausedAt, tracker.caughtUpNanos());
    }

    /** Guards against a read that ends at a pause, and is taken for one that left nothing. */
    @Test
    void readThatEndsAtAPauseProvesNothing() {
        long pausedAt = pause(800 * MILLI);
        time.advance(ReceiveWindowWatch.WINDOW_OPEN_NANOS);
        tracker.onReadComplete(now, bytesRead, false);
        assertTrue(tracker.isBehind());
        assertEquals(pausedAt, tracker.caughtUpNanos());
    }

    /** Guards against a client that is taken for behind for ever, and cut off though it is slow. */
    @Test
    void silenceWithAnOpenWindowProvesThatNothingIsUnsent() {
        pause(800 * MILLI);
        read(FULL_WINDOW_BYTES);
        time.advance(ReceiveWindowWatch.WINDOW_OPEN_NANOS + MILLI);
        assertFalse(tracker.isBehind());
        assertEquals(now - MILLI, tracker.caughtUpNanos());
    }

    /** Guards against the same for a client that sends little, and never stops for long. */
    @Test
    void trickleThatLeavesTheWindowOpenProvesThatNothingIsUnsent() {
        pause(800 * MILLI);
        read(FULL_WINDOW_BYTES);
        for (int i = 0; i < 6; i++) {
            time.advance(10 * MILLI);
            read(FEW_BYTES);
        }
        assertFalse(tracker.isBehind());
    }

    /** Guards against bytes that arrive while the event loop is late, and look like a silence. */
    @Test
    void lateEventLoopProvesNothing() {
        long pausedAt = pause(800 * MILLI);
        read(FULL_WINDOW_BYTES);
        for (int i = 0; i < 3; i++) {
            unreadBytes = FULL_WINDOW_BYTES;
            time.advance(ReceiveWindowWatch.WINDOW_OPEN_NANOS + MILLI);
        }
        assertTrue(tracker.isBehind());
        assertEquals(pausedAt, tracker.caughtUpNanos());
    }

    /** Guards against a stop of the client that counts as its time when the rest comes at once. */
    @Test
    void inputAfterASilenceHadNotBeenSentBefore() {
        pause(MILLI);
        read(FULL_WINDOW_BYTES);
        time.advance(300 * MILLI);
        tracker.onRead();
        assertEquals(now, tracker.caughtUpNanos());
    }
}
