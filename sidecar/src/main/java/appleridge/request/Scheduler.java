package appleridge.request;

/** Runs tasks later on the event loop, never within the call that submits them. */
public interface Scheduler {
    /** A scheduled task. */
    interface ScheduledTask {
        /** Cancels the task unless it has run; may be called more than once. */
        void cancel();
    }

    /** Runs a task at or soon after a time on the {@link MonotonicClock}. */
    ScheduledTask scheduleAt(long atNanos, Runnable task);

    /** Runs a task after the current one. */
    void execute(Runnable task);
}
