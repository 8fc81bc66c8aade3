package appleridge.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which requests are open, under which ids, and how many attempts are outstanding; counts and logs
 * how requests end. A request is tracked until it has ended and all its attempts have. Event loop
 * only.
 */
final class RequestAccounting {
    private final int maxOpenRequests;
    private final RequestLog log;
    private final Map<Long, PendingRequest> tracked = new HashMap<>();

    /** The clients' own ids of the requests that are open. */
    private final Set<String> clientIds = new HashSet<>();

    private RequestMetrics metrics = RequestMetrics.NONE;
    private long lastId;
    private int openRequests;
    private int outstandingAttempts;

    RequestAccounting(int maxOpenRequests, RequestLog log) {
        this.maxOpenRequests = maxOpenRequests;
        this.log = log;
    }

    /** Counts from now on go there. */
    void useMetrics(RequestMetrics target) {
        metrics = target;
    }

    RequestMetrics metrics() {
        return metrics;
    }

    boolean isFull() {
        return openRequests >= maxOpenRequests;
    }

    /** Takes a client's id for a request; false where a request is open under it. */
    boolean reserveId(String clientId) {
        return clientIds.add(clientId);
    }

    /** Counts a request that ends before anything is kept of it. */
    void requestRefused(ClientRequest request, EndReason reason, long nowNanos) {
        log.ended(request, reason, nowNanos);
        metrics.onRequestEnded(request.requestClass(), reason.end());
    }

    /** Tracks a request whose id is reserved. */
    PendingRequest open(ClientRequest request, ResponseSink client, long deadlineNanos) {
        PendingRequest pending = new PendingRequest(++lastId, request, client, deadlineNanos);
        tracked.put(pending.id(), pending);
        openRequests++;
        return pending;
    }

    /**
     * The request is over: nothing more is sent for it.
     *
     * @param nowNanos as of the event that ends it
     */
    void requestEnded(PendingRequest request, EndReason reason, long nowNanos) {
        request.markEnded();
        log.ended(request, reason, nowNanos);
        metrics.onRequestEnded(request.clientRequest().requestClass(), reason.end());
        clientIds.remove(request.clientRequest().id());
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
        }
    }

    /** The request that the policy names; null where nothing is kept of it. */
    PendingRequest find(long id) {
        return tracked.get(id);
    }

    /** A copy, so that requests may end while it is gone through. */
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
