package appleridge.loadbalancing;

import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.LongConsumer;

/**
 * Runs any number of scheduled tasks by the embedder's timers ({@link PolicyActions#setTimer}).
 * Tasks that are due at the same time run in the order in which they were scheduled.
 */
final class TimerQueue {
    private record Task(long at, long sequence, LongConsumer action) {}

    private record EmbedderTimer(long token, long at) {}

    private final PolicyActions actions;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at != b.at
                                    ? Long.compare(a.at, b.at)
                                    : Long.compare(a.sequence, b.sequence));

    /** Timers set at the embedder that have not fired, the earliest on top. */
    private final ArrayDeque<EmbedderTimer> embedderTimers = new ArrayDeque<>();

    private long nextSequence;
    private long lastToken;

    TimerQueue(PolicyActions actions) {
        this.actions = actions;
    }

    /**
     * Runs {@code action} with the current time at or after {@code at}. Tasks can't be cancelled.
     */
    void schedule(long at, LongConsumer action) {
        tasks.add(new Task(at, nextSequence++, action));
    }

    /** Sets a timer if the earliest task is due before every pending timer. */
    void armTimer() {
        if (!tasks.isEmpty()
                && (embedderTimers.isEmpty() || tasks.peek().at < embedderTimers.peek().at)) {
            embedderTimers.push(new EmbedderTimer(++lastToken, tasks.peek().at));
            actions.setTimer(lastToken, tasks.peek().at);
        }
    }

    /**
     * Runs all tasks that are due. The timer that fired is identified by its token, not by its
     * time: with a coarse clock it may fire early, and a timer wrongly believed to be pending would
     * never be set again.
     */
    void onTimer(long now, long token) {
        embedderTimers.removeIf(timer -> timer.token == token);
        while (!tasks.isEmpty() && tasks.peek().at <= now) {
            tasks.poll().action.accept(now);
        }
    }
}
