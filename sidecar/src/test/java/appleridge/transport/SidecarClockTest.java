package appleridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SidecarClockTest {
    private static final long SECOND_NANOS = 1_000_000_000;
    private long tickerNanos = 7 * SECOND_NANOS;
    private long wallMillis = 1_000_000;
    private final SidecarClock clock =
            new SidecarClock(
                    new Ticker() {
                        @Override
                        public long initialNanoTime() {
                            return 0;
                        }

                        @Override
                        public long nanoTime() {
                            return tickerNanos;
                        }

                        @Override
                        public void sleep(long delay, TimeUnit unit) {
                            throw new UnsupportedOperationException();
                        }
                    },
                    () -> wallMillis);

    private void advance(long seconds) {
        tickerNanos += seconds * SECOND_NANOS;
        wallMillis += seconds * 1000;
    }

    @Test
    void startTimeIsConvertedByTheWallClock() {
        advance(10);
        assertEquals(clock.now() - 3 * SECOND_NANOS, clock.nanosOfUnixMillis(wallMillis - 3000));
        assertEquals(clock.now() - 30 * SECOND_NANOS, clock.nanosOfUnixMillis(wallMillis - 30_000));
    }

    /** Guards against a cold host that is considered warm and gets overloaded. */
    @Test
    void laterStartTimeIsUsedWhenTheClocksDisagree() {
        advance(10);
        long startMillis = wallMillis;
        wallMillis += 20_000;
        assertEquals(
                clock.now(),
                clock.nanosOfUnixMillis(startMillis),
                "wall clock stepped forward: by it the host started 20 s ago");
        wallMillis -= 60_000;
        assertEquals(
                clock.now(),
                clock.nanosOfUnixMillis(startMillis),
                "wall clock stepped back: by it the host starts in the future");
        long startAfterSuspend = wallMillis += 3_600_000;
        assertEquals(
                clock.now(),
                clock.nanosOfUnixMillis(startAfterSuspend),
                "the ticker did not count an hour of suspension");
    }
}
