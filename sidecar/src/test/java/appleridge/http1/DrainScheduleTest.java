package appleridge.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DrainScheduleTest {
    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against a deadline for which SIGKILL may arrive before the end of the drain. */
    @Test
    void stepsAreInOrderBeforeSigkillForAnyDeadline() {
        for (long deadline = 0; deadline <= 10_000; deadline += 10) {
            DrainSchedule schedule = DrainSchedule.of(millis(deadline));
            long kill = millis(700 + Math.min(3000, deadline));
            assertTrue(
                    schedule.endNanos() <= kill - millis(300),
                    "deadline " + deadline + ": " + schedule);
            assertTrue(
                    schedule.connectionCloseNanos() > 0
                            && schedule.connectionCloseNanos() < schedule.endNanos(),
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

    /** Clients may connect for up to 0.4 s after SIGTERM, even with the shortest deadlines. */
    @Test
    void shortDeadlineStillLeavesTimeToAcceptConnections() {
        assertTrue(DrainSchedule.of(millis(100)).acceptUntilNanos() >= millis(400));
    }
}
