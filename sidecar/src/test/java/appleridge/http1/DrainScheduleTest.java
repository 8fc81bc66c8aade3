package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DrainScheduleTest {
    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against an end that SIGKILL may come ahead of, for some deadline. */
    @Test
    void drainEndsBeforeSigkillWithStepsInOrderForAnyDeadline() {
        for (long deadline = 0; deadline <= 10_000; deadline += 10) {
            DrainSchedule schedule = DrainSchedule.of(millis(deadline));
            long kill = millis(700 + Math.min(3000, deadline));
            assertTrue(
                    schedule.endNanos() <= kill - millis(300),
                    "deadline " + deadline + ": " + schedule);
            assertTrue(
                    schedule.lastCallNanos() > 0 && schedule.lastCallNanos() < schedule.endNanos(),
                    schedule.toString());
            assertTrue(schedule.acceptUntilNanos() <= schedule.endNanos(), schedule.toString());
        }
    }

    @Test
    void longDeadlineIsServedUntilShortlyBeforeSigkill() {
        assertEquals(
                new DrainSchedule(millis(600), millis(3000), millis(3300)),
                DrainSchedule.of(millis(6000)));
    }

    /** Clients connect for up to 0.4 s after SIGTERM, wherever that is ahead of the end. */
    @Test
    void shortDeadlineStillLeavesTimeToAcceptConnections() {
        assertTrue(DrainSchedule.of(millis(100)).acceptUntilNanos() >= millis(400));
    }
}
