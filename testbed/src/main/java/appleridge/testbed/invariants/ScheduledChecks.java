package appleridge.testbed.invariants;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Checks scheduled for a time of the day; checks for the same time run in the order in which they
 * were scheduled.
 */
final class ScheduledChecks {
    private record Check(long at, long serial, Runnable action) {}

    private final PriorityQueue<Check> waiting =
            new PriorityQueue<>(
                    Comparator.comparingLong(Check::at).thenComparingLong(Check::serial));
    private long nextSerial;
    private long now;

    void at(long time, Runnable action) {
        if (time != Long.MAX_VALUE) {
            waiting.add(new Check(time, nextSerial++, action));
        }
    }

    /** Returns the current time; within a check, the time for which the check was scheduled. */
    long now() {
        return now;
    }

    /** Runs the checks that are due before this time, which then becomes the current time. */
    void runBefore(long time) {
        while (!waiting.isEmpty() && waiting.peek().at < time) {
            Check next = waiting.poll();
            now = Math.max(now, next.at);
            next.action.run();
        }
        now = Math.max(now, time);
    }
}
