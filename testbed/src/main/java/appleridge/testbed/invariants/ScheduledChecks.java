package appleridge.testbed.invariants;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is to be looked at when its time has come; equal times in the order of their setting. */
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

    /** The moment that is being looked at: inside an alarm the alarm's own. */
    long now() {
        return now;
    }

    /** Runs what is due before that moment, which is then the present. */
    void runBefore(long time) {
        while (!waiting.isEmpty() && waiting.peek().at < time) {
            Check next = waiting.poll();
            now = Math.max(now, next.at);
            next.action.run();
        }
        now = Math.max(now, time);
    }
}
