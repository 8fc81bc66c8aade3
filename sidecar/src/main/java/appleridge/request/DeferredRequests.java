package appleridge.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Requests that are held back from the policy until discovery has caught up: after a start from a
 * cached endpoint list, and after a stall of the event loop longer than the drain grace. Hosts may
 * have drained meanwhile, and a request that the policy saw now could be sent to one of them. Event
 * loop only.
 */
final class DeferredRequests {
    /** The longest that requests wait for discovery before the list as known is used. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final RequestLog log;
    private boolean deferring;
    private List<Runnable> deferred = new ArrayList<>();
    private Scheduler.ScheduledTask maxWait;

    DeferredRequests(MonotonicClock clock, Scheduler scheduler, RequestLog log) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.log = log;
    }

    boolean isDeferring() {
        return deferring;
    }

    /** Defers what comes from now on, until {@link #resume} or the longest wait is over. */
    void begin() {
        deferring = true;
        deferred = new ArrayList<>();
        maxWait = scheduler.scheduleAt(clock.nanoTime() + MAX_WAIT_NANOS, this::resume);
    }

    /** The same after a stall, which is logged. */
    void beginAfterStall(int openRequests, long stallNanos) {
        log.deferred(openRequests, stallNanos);
        begin();
    }

    /** Keeps a request's submission to the policy for {@link #resume}. */
    void add(Runnable submission) {
        deferred.add(submission);
    }

    /** Submits the deferred requests in the order in which they came. */
    void resume() {
        if (deferring) {
            List<Runnable> resumed = deferred;
            deferring = false;
            deferred = new ArrayList<>();
            log.resumed(resumed.size());
            maxWait.cancel();
            resumed.forEach(Runnable::run);
        }
    }
}
