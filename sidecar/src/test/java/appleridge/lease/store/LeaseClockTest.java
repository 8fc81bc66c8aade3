package appleridge.lease.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The clock of leases across suspensions, clock jumps and systems without an uptime clock. */
class LeaseClockTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final List<String> logged = new ArrayList<>();
    private long nanos = 7;
    private long uptime = 100 * SECOND;
    private long unixMillis = 1000;

    private LeaseClock clock() {
        return new LeaseClock(() -> nanos, () -> uptime, () -> unixMillis, SECOND, logged::add);
    }

    @Test
    void clockFollowsTheLargerProgressAndNeverRunsBack() {
        LeaseClock clock = clock();
        long start = clock.nanoTime();
        nanos += 4 * SECOND;
        uptime += 3 * SECOND;
        assertEquals(start + 4 * SECOND, clock.nanoTime());
        uptime += 60 * SECOND;
        assertEquals(start + 63 * SECOND, clock.nanoTime(), "suspension is counted");
        nanos += SECOND;
        assertEquals(start + 63 * SECOND, clock.nanoTime());
        uptime -= 10 * SECOND;
        assertEquals(start + 63 * SECOND, clock.nanoTime(), "the clock went backwards");
    }

    @Test
    void wallClockIsIgnoredWhereSuspensionIsCounted() {
        LeaseClock clock = clock();
        unixMillis += 3_600_000;
        assertFalse(clock.mayHaveSuspended());
        assertEquals(List.of(), logged);
    }

    /** Guards against a holder that is suspended beyond its lease and does not notice. */
    @Test
    void wallClockJumpIsReportedOnceWhereSuspensionIsNotCounted() {
        uptime = LeaseClock.NO_CLOCK;
        LeaseClock clock = clock();
        assertEquals(1, logged.size(), "logged once");
        nanos += SECOND;
        unixMillis += 1000;
        assertFalse(clock.mayHaveSuspended(), "both clocks advanced alike");
        unixMillis += 1001;
        assertTrue(clock.mayHaveSuspended());
        assertFalse(clock.mayHaveSuspended());
        unixMillis -= 5000;
        assertTrue(clock.mayHaveSuspended(), "a jump backwards");
        assertEquals(nanos, clock.nanoTime());
        assertEquals(1, logged.size());
    }

    @Test
    void momentIsReachedByWhicheverClockComesFirst() {
        LeaseClock.Moment moment = clock().moment(clock().nanoTime() + 5 * SECOND);
        LeaseClock otherClock = clock();
        assertEquals(5 * SECOND, otherClock.nanosUntil(moment));
        nanos += SECOND;
        assertEquals(4 * SECOND, otherClock.nanosUntil(moment));
        uptime += 9 * SECOND;
        assertEquals(-4 * SECOND, otherClock.nanosUntil(moment));
        uptime = LeaseClock.NO_CLOCK;
        assertEquals(
                3 * SECOND, clock().nanosUntil(clock().moment(clock().nanoTime() + 3 * SECOND)));
    }

    @Test
    void procUptimeIsParsed() {
        assertEquals(414 * SECOND + 710_000_000, LeaseClock.parseUptime("414.71 1787.73\n"));
        for (String malformed : new String[] {"", "x", "1 2", "1.x 2"}) {
            assertEquals(LeaseClock.NO_CLOCK, LeaseClock.parseUptime(malformed), malformed);
        }
    }
}
