package appleridge.request;

import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import java.util.function.Consumer;

/**
 * Computes when requests expire, and expires them: by the timeout that the client gave, and in a
 * graceful shutdown no later than the shutdown deadline. Event loop only.
 */
final class RequestDeadlines {
    /**
     * The margin by which a client's timeout is shortened is at most the timeout divided by this.
     */
    private static final int MAX_MARGIN_DIVISOR = 4;

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PolicySettings settings;
    private final RequestAccounting accounting;
    private final Consumer<PendingRequest> expire;
    private long shutdownDeadlineNanos = Long.MAX_VALUE;

    /**
     * Creates the deadlines.
     *
     * @param expire expires a request; it must do nothing for one that has ended
     */
    RequestDeadlines(
            MonotonicClock clock,
            Scheduler scheduler,
            PolicySettings settings,
            RequestAccounting accounting,
            Consumer<PendingRequest> expire) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.settings = settings;
        this.accounting = accounting;
        this.expire = expire;
    }

    /** The longest timeout of any request class. */
    long longestTimeoutNanos() {
        return settings.classes().stream()
                .mapToLong(RequestClass::deadlineNanos)
                .max()
                .orElseThrow();
    }

    /** Returns the time by which a request needs its response for the client to get it in time. */
    long deadlineNanos(ClientRequest request) {
        long margin =
                Math.min(
                        settings.clockGranularityNanos(),
                        request.timeoutNanos() / MAX_MARGIN_DIVISOR);
        return Math.min(
                shutdownDeadlineNanos, request.arrivedAtNanos() + request.timeoutNanos() - margin);
    }

    /**
     * Schedules the expiry of a request a little after its deadline. The policy normally ends the
     * request before; without this backstop an error in the policy would make its client wait
     * forever.
     */
    void scheduleBackstop(PendingRequest request) {
        request.setExpiry(
                scheduler.scheduleAt(
                        request.deadlineNanos() + settings.safetyLimits().answerSlackNanos() / 2,
                        () -> expire.accept(request)));
    }

    /** Schedules the expiry of a fully sent streamed request: its timeout starts now. */
    void scheduleAfterStreaming(PendingRequest request) {
        long timeoutNanos = request.clientRequest().timeoutNanos();
        request.setExpiry(
                scheduler.scheduleAt(
                        Math.min(shutdownDeadlineNanos, clock.nanoTime() + timeoutNanos),
                        () -> expire.accept(request)));
    }

    /** Expires uncommitted requests at that time, and caps the deadlines of later requests. */
    void setShutdownDeadline(long atNanos) {
        shutdownDeadlineNanos = atNanos;
        scheduler.scheduleAt(atNanos, this::expireUncommitted);
    }

    /** Expires all requests that are not being streamed; streams have to end by themselves. */
    private void expireUncommitted() {
        for (PendingRequest request : accounting.trackedRequests()) {
            if (request.isUncommitted()) {
                expire.accept(request);
            }
        }
    }
}
