package appleridge.loadbalancing;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * Any number of deadlines behind the host's {@link PolicyActions#setTimer}. Tasks that are due at
 * the same time run in the order in which they were scheduled.
 */
final class TimerQueue {
    private record Task(long at, long sequence, LongConsumer action) {}

    private record HostTimer(long token, long at) {}

    private final PolicyActions actions;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.sequence, b.sequence));

    /** Host timers that are still to fire, the earliest on top. */
    private final ArrayDeque<HostTimer> timers = new ArrayDeque<>();

    private long nextSequence;
    private long lastToken;

    TimerQueue(PolicyActions actions) {
        this.actions = actions;
    }

    /** Runs {@code action} with the current time at or after {@code at}; there is no cancelling. */
    void schedule(long at, LongConsumer action) {
        tasks.add(new Task(at, nextSequence++, action));
    }

    /** Asks the host for a timer if the earliest task is due before every timer it still holds. */
    void armHostTimer() {
        if (!tasks.isEmpty() && (timers.isEmpty() || tasks.peek().at < timers.peek().at)) {
            timers.push(new HostTimer(++lastToken, tasks.peek().at));
            actions.setTimer(lastToken, tasks.peek().at);
        }
    }

    /**
     * Runs all tasks that are due. The host timer is identified by its token and not by its time: a
     * coarse clock may fire early, and a timer believed to be still held would never be set again.
     */
    void onTimer(long now, long token) {
        timers.removeIf(timer -> timer.token == token);
        while (!tasks.isEmpty() && tasks.peek().at <= now) {
            tasks.poll().action.accept(now);
        }
    }
}
