package appleridge.request;

import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.PolicySettings;
import java.nio.LongBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks which requests are open, under which ids, and how many attempts are outstanding; counts
 * and logs how requests end. A request is tracked until it and all its attempts have ended. Event
 * loop only.
 */
final class RequestAccounting {
    private final int maxOpenRequests;
    private final RequestLog log;
    private final Map<Long, PendingRequest> tracked = new HashMap<>();

    /** The ids that clients gave the requests that are open or may still be executed. */
    private final Set<String> clientIds = new HashSet<>();

    private final PolicySettings settings;
    private final ExecutedIds executedIds;
    private RequestMetrics metrics = RequestMetrics.NONE;
    private long lastId;
    private int openRequests;
    private int outstandingAttempts;

    RequestAccounting(
            int maxOpenRequests, PolicySettings settings, MonotonicClock clock, RequestLog log) {
        this.maxOpenRequests = maxOpenRequests;
        this.settings = settings;
        this.executedIds = new ExecutedIds(clock);
        this.log = log;
    }

    /** Sets where requests and attempts are counted from now on. */
    void setMetrics(RequestMetrics metrics) {
        this.metrics = metrics;
    }

    RequestMetrics metrics() {
        return metrics;
    }

    /** Whether the limit of open requests is reached. */
    boolean isFull() {
        return openRequests >= maxOpenRequests;
    }

    /**
     * Reserves the id of a request. Fails if an open request has it, or one that must not be
     * executed twice and of which an attempt is outstanding; or if a request with the same id has
     * been forwarded before, here or by another process, and may have been executed.
     *
     * @return why the id is not reserved; empty if it is
     */
    Optional<EndReason> reserveId(ClientRequest request) {
        String id = request.id();
        if (clientIds.contains(id)) {
            return Optional.of(EndReason.ID_IN_USE);
        }
        boolean reserved =
                isRepeatable(request) ? !executedIds.contains(id) : executedIds.claim(id);
        if (!reserved) {
            return Optional.of(EndReason.ID_MAY_HAVE_EXECUTED);
        }
        clientIds.add(id);
        return Optional.empty();
    }

    /** Counts and logs a request that ends on its arrival, before it is tracked. */
    void requestEndedOnArrival(ClientRequest request, EndReason reason, long nowNanos) {
        log.ended(request, reason, nowNanos);
        metrics.onRequestEnded(request.requestClass(), reason.end());
        request.message().release();
    }

    /** Starts to track a request whose id is reserved. */
    PendingRequest open(ClientRequest request, ResponseSink client, long deadlineNanos) {
        PendingRequest pending = new PendingRequest(++lastId, request, client, deadlineNanos);
        tracked.put(pending.id(), pending);
        openRequests++;
        return pending;
    }

    /**
     * Ends a request: nothing more is sent for it.
     *
     * @param nowNanos the time of the event that ends it
     */
    void requestEnded(PendingRequest request, EndReason reason, long nowNanos) {
        request.markEnded();
        log.ended(request, reason, nowNanos);
        metrics.onRequestEnded(request.clientRequest().requestClass(), reason.end());
        if (isRepeatable(request.clientRequest())) {
            clientIds.remove(request.clientRequest().id());
        }
        request.cancelExpiry();
        openRequests--;
        forgetIfDone(request);
    }

    void attemptStarted(Attempt attempt) {
        attempt.request().attemptStarted(attempt);
        outstandingAttempts++;
    }

    void attemptEnded(PendingRequest request) {
        outstandingAttempts--;
        request.attemptEnded();
        forgetIfDone(request);
    }

    private void forgetIfDone(PendingRequest request) {
        if (request.isDone()) {
            tracked.remove(request.id());
            if (!isRepeatable(request.clientRequest())) {
                releaseId(request);
            }
            request.clientRequest().message().release();
        }
    }

    private boolean isRepeatable(ClientRequest request) {
        return settings.classes().get(request.requestClass()).idempotency()
                == Idempotency.IDEMPOTENT;
    }

    /** Lets the id go, but remembers it for a while if the request may have been executed. */
    private void releaseId(PendingRequest request) {
        String id = request.clientRequest().id();
        clientIds.remove(id);
        if (request.attempts().stream().anyMatch(Attempt::mayHaveExecuted)) {
            executedIds.remember(id);
        } else {
            executedIds.forget(id);
        }
    }

    /** Shares the memory of executed ids with other processes of this sidecar. */
    void shareExecutedIds(LongBuffer own, List<LongBuffer> others) {
        executedIds.share(own, others);
    }

    /** Returns the request with the id that the policy uses; null if it is not tracked. */
    PendingRequest find(long id) {
        return tracked.get(id);
    }

    /** The tracked requests, as a copy, so that requests may end while it is iterated. */
    List<PendingRequest> trackedRequests() {
        return List.copyOf(tracked.values());
    }

    int openRequests() {
        return openRequests;
    }

    InFlightCounts inFlightCounts() {
        return new InFlightCounts(
                openRequests, outstandingAttempts, tracked.size(), clientIds.size());
    }
}
