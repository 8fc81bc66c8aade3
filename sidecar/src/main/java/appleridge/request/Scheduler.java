package appleridge.request;

/** Runs tasks later on the event loop; never within the call that hands them in. */
public interface Scheduler {
    /** A task that was scheduled. */
    interface ScheduledTask {
        /** Cancels it, unless it has run; may be called any number of times. */
        void cancel();
    }

    /** Runs a task at or soon after a time of the {@link MonotonicClock}. */
    ScheduledTask scheduleAt(long when, Runnable what);

    /** Runs a task as soon as the current one is over. */
    void execute(Runnable what);
}
