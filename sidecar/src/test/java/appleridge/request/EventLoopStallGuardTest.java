package appleridge.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopStallGuardTest {
    private static final long GRACE = TimeUnit.SECONDS.toNanos(2);
    private static final int TICK = 40;

    private long now = TimeUnit.HOURS.toNanos(1);
    private final EventLoopStallGuard guard = new EventLoopStallGuard(now, GRACE);

    private void eventAfter(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
        guard.observe(now);
    }

    private void tickAfter(long millis) {
        eventAfter(millis);
        guard.onAllInputRead();
    }

    /** Guards against checks of all clients by a loop that is only quiet. */
    @Test
    void clientsAreNotCheckedWhileTicksComeInTime() {
        for (int i = 0; i < 100; i++) {
            tickAfter(TICK + i % 20);
            assertFalse(guard.mayHaveMissedClients());
            assertFalse(guard.mayHaveWaited());
            assertEquals(now, guard.earliestArrivalNanos());
        }
    }

    /**
     * Guards against an attempt that begins more than 0.1 s after its client has left unnoticed.
     */
    @Test
    void clientsAreCheckedWithinATenthOfASecondAfterAGap() {
        for (long gap = 81; gap <= 1000; gap += 7) {
            tickAfter(TICK);
            eventAfter(gap);
            assertTrue(guard.mayHaveMissedClients(), "gap of " + gap);
            assertTrue(guard.mayHaveWaited());
        }
    }

    /** The same for one long turn, in which each event comes soon after the one before. */
    @Test
    void clientsAreCheckedInALongTurnWithoutAGap() {
        tickAfter(TICK);
        long began = now;
        while (!guard.mayHaveMissedClients()) {
            eventAfter(5);
            assertTrue(
                    now - began < TimeUnit.MILLISECONDS.toNanos(100),
                    "clients stay unchecked in a long turn");
        }
        eventAfter(5);
        assertFalse(guard.mayHaveMissedClients(), "they have just been checked");
    }

    @Test
    void arrivalsMoveAfterALongGapAndDiscoveryIsReadAfterALongerOne() {
        tickAfter(TICK);
        long before = now;
        eventAfter(120);
        assertEquals(now, guard.earliestArrivalNanos());
        tickAfter(TICK);
        before = now;
        eventAfter(300);
        assertEquals(before, guard.earliestArrivalNanos());
        assertFalse(guard.isStalled());
        tickAfter(TICK);
        eventAfter(600);
        assertTrue(guard.isStalled());
        assertEquals(TimeUnit.MILLISECONDS.toNanos(600), guard.gapNanos());
    }
}
