package appleridge.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Something that a request waits for before it is sent: what is to be done afterwards, and the
 * timer that ends the wait. Event loop only.
 */
final class RequestWait {
    private final List<Resumption> resumptions = new ArrayList<>(0);

    /** Null unless the request waits. */
    private Scheduler.ScheduledTask expiry;

    /** A task that is dropped, with the body that it refers to, when the wait ends. */
    private static final class Resumption implements Runnable {
        private Runnable task;

        Resumption(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            Runnable current = task;
            task = null;
            if (current != null) {
                current.run();
            }
        }
    }

    /** Whether the request waits. */
    boolean isActive() {
        return expiry != null;
    }

    /**
     * Begins the wait.
     *
     * @param expiryTimer ends the request, or this wait, if it lasts for too long
     */
    void begin(Scheduler.ScheduledTask expiryTimer) {
        expiry = expiryTimer;
    }

    /** Adds a task and returns it as one that runs once, and only while this wait lasts. */
    Runnable resumption(Runnable task) {
        Resumption resumption = new Resumption(task);
        resumptions.add(resumption);
        return resumption;
    }

    /** Ends the wait and runs its tasks. */
    void resume() {
        List<Runnable> resumed = List.copyOf(resumptions);
        resumptions.clear();
        end();
        resumed.forEach(Runnable::run);
    }

    /** Ends the wait and drops its tasks. */
    void end() {
        resumptions.forEach(each -> each.task = null);
        resumptions.clear();
        if (expiry != null) {
            expiry.cancel();
            expiry = null;
        }
    }
}
