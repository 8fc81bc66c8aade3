package appleridge.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Requests that are held back from the policy until discovery has caught up: after a start from a
 * cached endpoint list, and after a stall of the event loop longer than the drain grace. Hosts may
 * have drained meanwhile, and the policy could send a request to one of them. Event loop only.
 */
final class DeferredRequests {
    /** Time after which requests are sent by the last known endpoint list. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final RequestLog log;
    private boolean deferring;
    private List<Runnable> deferred = new ArrayList<>();
    private Scheduler.ScheduledTask maxWaitTimer;

    DeferredRequests(MonotonicClock clock, Scheduler scheduler, RequestLog log) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.log = log;
    }

    boolean isDeferring() {
        return deferring;
    }

    /** Defers requests from now on, until {@link #resume} or the longest wait is over. */
    void begin() {
        deferring = true;
        deferred = new ArrayList<>();
        maxWaitTimer = scheduler.scheduleAt(clock.nanoTime() + MAX_WAIT_NANOS, this::resume);
    }

    /** Logs a stall of the event loop, and defers requests as {@link #begin} does. */
    void beginAfterStall(int openRequests, long stallNanos) {
        log.deferred(openRequests, stallNanos);
        begin();
    }

    /** Adds a request's submission to the policy, to be run by {@link #resume}. */
    void add(Runnable submission) {
        deferred.add(submission);
    }

    /** Submits the deferred requests in order of arrival; does nothing while not deferring. */
    void resume() {
        if (deferring) {
            List<Runnable> resumed = deferred;
            deferring = false;
            deferred = new ArrayList<>();
            log.resumed(resumed.size());
            maxWaitTimer.cancel();
            resumed.forEach(Runnable::run);
        }
    }
}
