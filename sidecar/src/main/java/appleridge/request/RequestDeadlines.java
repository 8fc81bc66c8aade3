package appleridge.request;

import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import java.util.function.Consumer;

/**
 * When requests expire: by their client's own timeout, and in a graceful shutdown by the shutdown
 * deadline at the latest. Event loop only.
 */
final class RequestDeadlines {
    /** A client's timeout is shortened by this part of it at most. */
    private static final int MAX_MARGIN_DIVISOR = 4;

    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PolicySettings settings;
    private final RequestAccounting accounting;
    private final Consumer<PendingRequest> expire;
    private long shutdownDeadlineNanos = Long.MAX_VALUE;

    /** With what expires a request; it must do nothing for one that has ended. */
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

    /** By when a request needs its response, so that it reaches its client in time. */
    long deadlineNanos(ClientRequest request) {
        long margin =
                Math.min(
                        settings.clockGranularityNanos(),
                        request.timeoutNanos() / MAX_MARGIN_DIVISOR);
        return Math.min(
                shutdownDeadlineNanos, request.arrivedAtNanos() + request.timeoutNanos() - margin);
    }

    /**
     * Expires a request a little after its deadline. The policy ends it before that; without this
     * backstop an error in the policy would keep a client waiting for ever.
     */
    void scheduleBackstop(PendingRequest request) {
        request.setExpiry(
                scheduler.scheduleAt(
                        request.deadlineNanos() + settings.safetyLimits().answerSlackNanos() / 2,
                        () -> expire.accept(request)));
    }

    /** A streamed request is with its upstream whole: its client's timeout runs from now. */
    void scheduleAfterStreaming(PendingRequest request) {
        long timeoutNanos = request.clientRequest().timeoutNanos();
        request.setExpiry(
                scheduler.scheduleAt(
                        Math.min(shutdownDeadlineNanos, clock.nanoTime() + timeoutNanos),
                        () -> expire.accept(request)));
    }

    /** What is open at that time expires then, and what comes later has no later deadline. */
    void setShutdownDeadline(long atNanos) {
        shutdownDeadlineNanos = atNanos;
        scheduler.scheduleAt(atNanos, this::expireUncommitted);
    }

    /** What is being streamed has to end by itself. */
    private void expireUncommitted() {
        for (PendingRequest request : accounting.trackedRequests()) {
            if (request.isUncommitted()) {
                expire.accept(request);
            }
        }
    }
}
