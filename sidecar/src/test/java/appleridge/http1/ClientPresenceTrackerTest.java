package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import appleridge.request.EventLog;
import appleridge.transport.LoopActivity;
import appleridge.transport.SidecarEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What the reads and polls of a connection prove about the presence of its client. */
class ClientPresenceTrackerTest {
    private static final int FEW_BYTES = 1000;
    private static final int WINDOW_BYTES = 64 << 10;
    private static final long UNKNOWN = LoopActivity.UNKNOWN_NANOS;

    private static final EventLog NO_LOG =
            new EventLog() {
                @Override
                public void info(String line) {}

                @Override
                public void warning(String line) {}

                @Override
                public void failure(String what, Throwable cause) {}
            };

    private final MockTicker ticker = Ticker.newMockTicker();
    private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
    private long unreadNanos = UNKNOWN;
    private final SidecarEventLoop loop =
            new SidecarEventLoop(
                    channel.eventLoop(),
                    () -> 0,
                    NO_LOG,
                    new LoopActivity() {
                        @Override
                        public long turnCount() {
                            return 0;
                        }

                        @Override
                        public long maxUnreadInputNanos() {
                            return unreadNanos;
                        }
                    });
    private long bytesRead;
    private int wakeUps;

    private ClientPresenceTracker tracker(long openedWithinNanos) {
        return new ClientPresenceTracker(loop, channel, openedWithinNanos, () -> {});
    }

    private void advance(long millis) {
        ticker.advance(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void read(ClientPresenceTracker tracker, int bytes) {
        bytesRead += bytes;
        tracker.onReadComplete(loop.nanoTime(), bytesRead, true);
    }

    private void readNothing(ClientPresenceTracker tracker) {
        read(tracker, 0);
        tracker.onNothingToRead(loop.nanoTime());
    }

    private boolean isSeen(ClientPresenceTracker tracker) {
        return tracker.isSeen(loop.nanoTime());
    }

    /** Guards against a long wait in the backlog that counts as presence. */
    @Test
    void clientOfUnknownAgeIsSeenOnlyOnceNothingIsLeftToRead() {
        ClientPresenceTracker tracker = tracker(UNKNOWN);
        assertFalse(isSeen(tracker));
        assertEquals(Long.MAX_VALUE, tracker.seenAgoNanos(loop.nanoTime()));
        read(tracker, FEW_BYTES);
        assertFalse(isSeen(tracker), "its end may be behind these bytes");
        readNothing(tracker);
        assertTrue(isSeen(tracker));
        advance(81);
        assertFalse(isSeen(tracker), "it may have left since");
    }

    /** Guards against long requests of fresh clients that wait, whatever their size. */
    @Test
    void freshClientIsSeenAtOnceWhateverItSends() {
        ClientPresenceTracker tracker = tracker(TimeUnit.MILLISECONDS.toNanos(5));
        read(tracker, 100 * WINDOW_BYTES);
        assertTrue(isSeen(tracker));
        advance(74);
        assertTrue(isSeen(tracker));
        advance(2);
        assertFalse(isSeen(tracker));
    }

    /** Guards against an end that is held back in the client's system by a closed window. */
    @Test
    void emptySocketBehindAFullWindowProvesNothingUntilItStaysEmpty() {
        ClientPresenceTracker tracker = tracker(UNKNOWN);
        tracker.whenMoreIsKnown(() -> wakeUps++);
        read(tracker, WINDOW_BYTES);
        readNothing(tracker);
        assertFalse(isSeen(tracker));
        advance(10);
        read(tracker, WINDOW_BYTES);
        advance(15);
        readNothing(tracker);
        assertFalse(isSeen(tracker), "the window was filled once more");
        assertEquals(0, wakeUps);
        advance(240);
        readNothing(tracker);
        assertTrue(isSeen(tracker));
        channel.runPendingTasks();
        assertEquals(1, wakeUps);
    }

    /** Guards against bytes that were held back and count as newly sent. */
    @Test
    void bytesBehindAFullWindowAreNoSignOfTheClient() {
        ClientPresenceTracker tracker = tracker(UNKNOWN);
        unreadNanos = 0;
        for (int i = 0; i < 10; i++) {
            read(tracker, WINDOW_BYTES);
            advance(5);
            assertFalse(isSeen(tracker));
        }
    }

    /** Guards against a pause, during which nothing of the client can be seen. */
    @Test
    void pausedClientIsNotSeen() {
        ClientPresenceTracker tracker = tracker(0);
        readNothing(tracker);
        tracker.onPaused();
        unreadNanos = 0;
        advance(81);
        assertFalse(isSeen(tracker));
        read(tracker, FEW_BYTES);
        readNothing(tracker);
        assertFalse(isSeen(tracker), "the window has just been opened");
        advance(250);
        readNothing(tracker);
        assertTrue(isSeen(tracker));
    }

    /**
     * Guards against an attempt for a departed client whose end comes only with a retransmission,
     * 0.2 s after the window has opened.
     */
    @Test
    void silenceOfLessThanARetransmissionTimeoutProvesNothingBehindAPause() {
        ClientPresenceTracker tracker = tracker(0);
        tracker.onPaused();
        read(tracker, WINDOW_BYTES);
        for (int millis = 0; millis < 200; millis += 10) {
            advance(10);
            readNothing(tracker);
        }
        assertFalse(isSeen(tracker));
        advance(50);
        readNothing(tracker);
        assertTrue(isSeen(tracker));
    }

    /** Guards against a read for each attempt: a poll shows the same. */
    @Test
    void clientIsSeenByAPollThatDoesNotFindItsConnectionReady() {
        ClientPresenceTracker tracker = tracker(UNKNOWN);
        readNothing(tracker);
        advance(100);
        assertFalse(isSeen(tracker));
        unreadNanos = TimeUnit.MILLISECONDS.toNanos(30);
        assertTrue(isSeen(tracker));
        unreadNanos = TimeUnit.MILLISECONDS.toNanos(130);
        advance(100);
        assertFalse(isSeen(tracker), "that poll was before the last read");
    }

    /** Guards against new bytes that are not taken for a sign of their client. */
    @Test
    void newBytesShowThatTheClientWasThereAfterTheLastPoll() {
        ClientPresenceTracker tracker = tracker(UNKNOWN);
        readNothing(tracker);
        advance(500);
        unreadNanos = TimeUnit.MILLISECONDS.toNanos(20);
        read(tracker, 10 * WINDOW_BYTES);
        assertEquals(unreadNanos, tracker.seenAgoNanos(loop.nanoTime()));
        assertTrue(isSeen(tracker));
    }
}
