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
        return deadlineNanos(request, request.arrivedAtNanos());
    }

    private long deadlineNanos(ClientRequest request, long startNanos) {
        long margin =
                Math.min(
                        settings.clockGranularityNanos(),
                        request.timeoutNanos() / MAX_MARGIN_DIVISOR);
        return Math.min(shutdownDeadlineNanos, startNanos + request.timeoutNanos() - margin);
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

    /**
     * Schedules the expiry of a request whose body is streamed. The timeout of the client counts
     * from its last byte, even if that waits for the upstream host to read; while the client itself
     * is slow, its timeout does not run.
     */
    void scheduleForStreaming(PendingRequest request) {
        request.setExpiry(
                scheduler.scheduleAt(
                        streamingDeadlineNanos(request), () -> expireStreaming(request)));
    }

    private long streamingDeadlineNanos(PendingRequest request) {
        return deadlineNanos(
                request.clientRequest(), request.client().uploadProgress().lastIncompleteNanos());
    }

    private void expireStreaming(PendingRequest request) {
        request.client().readPendingInput();
        if (request.isOpen() && streamingDeadlineNanos(request) > clock.nanoTime()) {
            scheduleForStreaming(request);
        } else if (request.isOpen()) {
            expire.accept(request);
        }
    }

    /** Expires all requests at that time, and caps the deadlines of later requests. */
    void setShutdownDeadline(long atNanos) {
        shutdownDeadlineNanos = atNanos;
        scheduler.scheduleAt(atNanos, this::expireAll);
    }

    /** Expires all requests whose response is not being streamed; those end by themselves. */
    private void expireAll() {
        for (PendingRequest request : accounting.trackedRequests()) {
            if (request.isOpen() && !request.isResponseStreaming()) {
                expire.accept(request);
            }
        }
    }
}
