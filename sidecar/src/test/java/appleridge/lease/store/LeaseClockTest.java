package appleridge.lease.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The clock of leases, through sleep, jumps and systems that can't tell of sleep. */
class LeaseClockTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final List<String> said = new ArrayList<>();
    private long nanos = 7;
    private long uptime = 100 * SECOND;
    private long unixMillis = 1000;

    private LeaseClock clock() {
        return new LeaseClock(() -> nanos, () -> uptime, () -> unixMillis, SECOND, said::add);
    }

    @Test
    void clockFollowsTheLargerProgressAndNeverRunsBack() {
        LeaseClock clock = clock();
        long begin = clock.nanoTime();
        nanos += 4 * SECOND;
        uptime += 3 * SECOND;
        assertEquals(begin + 4 * SECOND, clock.nanoTime());
        uptime += 60 * SECOND;
        assertEquals(begin + 63 * SECOND, clock.nanoTime(), "sleep counts");
        nanos += SECOND;
        assertEquals(begin + 63 * SECOND, clock.nanoTime());
        uptime -= 10 * SECOND;
        assertEquals(begin + 63 * SECOND, clock.nanoTime(), "it never runs back");
    }

    @Test
    void wallClockIsIgnoredWhereSuspensionIsCounted() {
        LeaseClock clock = clock();
        unixMillis += 3_600_000;
        assertFalse(clock.mayHaveSuspended());
        assertEquals(List.of(), said);
    }

    /** Guards against a holder that sleeps for longer than its lease and never knows. */
    @Test
    void wallClockJumpIsReportedOnceWhereSuspensionIsNotCounted() {
        uptime = LeaseClock.NO_CLOCK;
        LeaseClock clock = clock();
        assertEquals(1, said.size(), "said once");
        nanos += SECOND;
        unixMillis += 1000;
        assertFalse(clock.mayHaveSuspended(), "both went on");
        unixMillis += 1001;
        assertTrue(clock.mayHaveSuspended());
        assertFalse(clock.mayHaveSuspended());
        unixMillis -= 5000;
        assertTrue(clock.mayHaveSuspended(), "back as well");
        assertEquals(nanos, clock.nanoTime());
        assertEquals(1, said.size());
    }

    @Test
    void momentIsReachedByWhicheverClockComesFirst() {
        LeaseClock.Moment moment = clock().moment(clock().nanoTime() + 5 * SECOND);
        LeaseClock other = clock();
        assertEquals(5 * SECOND, other.nanosUntil(moment));
        nanos += SECOND;
        assertEquals(4 * SECOND, other.nanosUntil(moment));
        uptime += 9 * SECOND;
        assertEquals(-4 * SECOND, other.nanosUntil(moment));
        uptime = LeaseClock.NO_CLOCK;
        assertEquals(
                3 * SECOND, clock().nanosUntil(clock().moment(clock().nanoTime() + 3 * SECOND)));
    }

    @Test
    void procUptimeIsParsed() {
        assertEquals(414 * SECOND + 710_000_000, LeaseClock.parse("414.71 1787.73\n"));
        for (String bad : new String[] {"", "x", "1 2", "1.x 2"}) {
            assertEquals(LeaseClock.NO_CLOCK, LeaseClock.parse(bad), bad);
        }
    }
}
