package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopStallGuardTest {
    private static final long DRAIN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int TICK_MILLIS = 40;

    private long now = TimeUnit.HOURS.toNanos(1);
    private final EventLoopStallGuard guard = new EventLoopStallGuard(now, DRAIN_GRACE_NANOS);

    private void eventAfter(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
        guard.observe(now);
    }

    private void tickAfter(long millis) {
        eventAfter(millis);
        guard.onAllInputRead();
    }

    /** Guards against checks of all clients by an event loop that is idle but on time. */
    @Test
    void clientsAreNotCheckedWhileTicksAreOnTime() {
        for (int i = 0; i < 100; i++) {
            tickAfter(TICK_MILLIS + i % 20);
            assertFalse(guard.mayHaveMissedClients());
            assertFalse(guard.mayHaveWaited());
            assertEquals(now, guard.earliestArrivalNanos());
        }
    }

    /**
     * Guards against an attempt that begins more than 0.1 s after its client has disconnected. In a
     * gap between events the disconnect stays unread, so clients are checked after a gap of more
     * than 80 ms.
     */
    @Test
    void clientsAreCheckedWithinATenthOfASecondAfterAGap() {
        for (long gap = 81; gap <= 1000; gap += 7) {
            tickAfter(TICK_MILLIS);
            eventAfter(gap);
            assertTrue(guard.mayHaveMissedClients(), "gap of " + gap + " ms");
            assertTrue(guard.mayHaveWaited());
        }
    }

    /**
     * Guards against the same in one long turn without a gap: each event follows 5 ms after the one
     * before, and the turn reads no client's disconnect.
     */
    @Test
    void clientsAreCheckedInALongTurnWithoutAGap() {
        tickAfter(TICK_MILLIS);
        long turnStart = now;
        while (!guard.mayHaveMissedClients()) {
            eventAfter(5);
            assertTrue(
                    now - turnStart < TimeUnit.MILLISECONDS.toNanos(100),
                    "clients are not checked within 100 ms of a long turn");
        }
        eventAfter(5);
        assertFalse(guard.mayHaveMissedClients(), "clients were checked at the event before");
    }

    @Test
    void gapOver150MillisMovesArrivalsAndOver500MillisIsAStall() {
        tickAfter(TICK_MILLIS);
        long before = now;
        eventAfter(120);
        assertEquals(now, guard.earliestArrivalNanos());
        tickAfter(TICK_MILLIS);
        before = now;
        eventAfter(300);
        assertEquals(before, guard.earliestArrivalNanos());
        assertFalse(guard.isStalled());
        tickAfter(TICK_MILLIS);
        eventAfter(600);
        assertTrue(guard.isStalled());
        assertEquals(TimeUnit.MILLISECONDS.toNanos(600), guard.gapNanos());
    }
}
