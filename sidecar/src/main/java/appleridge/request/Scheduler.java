package appleridge.request;

/**
 * Later moments on the thread that owns a sidecar; nothing given here runs inside the call that
 * gives it.
 */
public interface Scheduler {
    /** Something that was to happen. */
    interface ScheduledTask {
        /** Keeps it from happening, if it has not; any number of times. */
        void cancel();
    }

    /** Runs something at or soon after a time of the {@link MonotonicClock}. */
    ScheduledTask scheduleAt(long when, Runnable what);

    /** Runs something as soon as what runs now is over. */
    void execute(Runnable what);
}
