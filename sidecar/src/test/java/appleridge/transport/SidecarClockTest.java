package appleridge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SidecarClockTest {
    private static final long S = 1_000_000_000;
    private long ticks = 7 * S;
    private long wall = 1_000_000;
    private final SidecarClock clock =
            new SidecarClock(
                    new Ticker() {
                        @Override
                        public long initialNanoTime() {
                            return 0;
                        }

                        @Override
                        public long nanoTime() {
                            return ticks;
                        }

                        @Override
                        public void sleep(long delay, TimeUnit unit) {
                            throw new UnsupportedOperationException();
                        }
                    },
                    () -> wall);

    private void pass(long seconds) {
        ticks += seconds * S;
        wall += seconds * 1000;
    }

    @Test
    void startTimeIsPlacedByWallClock() {
        pass(10);
        assertEquals(clock.now() - 3 * S, clock.nanosOfUnixMillis(wall - 3000));
        assertEquals(clock.now() - 30 * S, clock.nanosOfUnixMillis(wall - 30_000));
    }

    /** Guards against a cold upstream that is taken for warm, and pushed over. */
    @Test
    void startTimeIsYoungerOfTwoWhenWallClockStepped() {
        pass(10);
        long bornNow = wall;
        wall += 20_000;
        assertEquals(
                clock.now(), clock.nanosOfUnixMillis(bornNow), "by the wall it would be 20 s old");
        wall -= 60_000;
        assertEquals(clock.now(), clock.nanosOfUnixMillis(bornNow), "and now in the future");
        long suspended = wall += 3_600_000;
        assertEquals(
                clock.now(),
                clock.nanosOfUnixMillis(suspended),
                "after an hour that the ticker did not count");
    }
}
