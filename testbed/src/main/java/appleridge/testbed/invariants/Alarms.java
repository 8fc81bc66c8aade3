package appleridge.testbed.invariants;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What is to be looked at when its time has come; equal times in the order of their setting. */
final class Alarms {
    private record Alarm(long at, long serial, Runnable what) {}

    private final PriorityQueue<Alarm> waiting =
            new PriorityQueue<>(
                    Comparator.comparingLong(Alarm::at).thenComparingLong(Alarm::serial));
    private long serials;
    private long now;

    void at(long when, Runnable what) {
        if (when != Long.MAX_VALUE) {
            waiting.add(new Alarm(when, serials++, what));
        }
    }

    /** The moment that is being looked at: inside an alarm the alarm's own. */
    long now() {
        return now;
    }

    /** Runs what is due before that moment, which is then the present. */
    void runBefore(long moment) {
        while (!waiting.isEmpty() && waiting.peek().at < moment) {
            Alarm next = waiting.poll();
            now = Math.max(now, next.at);
            next.what.run();
        }
        now = Math.max(now, moment);
    }
}
