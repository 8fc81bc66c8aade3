package appleridge.request;

import appleridge.loadbalancing.Outcome;

/**
 * Gives each request its one final response. The request is ended in {@link RequestAccounting}
 * before the response is given to its client. Event loop only.
 */
final class RequestCompletion {
    private final RequestAccounting accounting;
    private final StallReconciler reconciler;
    private final EventLog log;

    RequestCompletion(RequestAccounting accounting, StallReconciler reconciler, EventLog log) {
        this.accounting = accounting;
        this.reconciler = reconciler;
        this.log = log;
    }

    /** Ends an open request whose client has disconnected. */
    void clientDisconnected(PendingRequest request) {
        end(request, EndReason.CLIENT_DISCONNECTED);
    }

    /**
     * Ends an open request as not executed.
     *
     * @param waitNanos the time after which the client may retry; 0 gives it no guidance
     */
    void reject(PendingRequest request, EndReason reason, long waitNanos) {
        end(request, reason);
        respond(request, () -> request.client().onRejected(waitNanos));
    }

    /** Ends an open request that may have been executed. */
    void fail(PendingRequest request, EndReason reason) {
        end(request, reason);
        respond(request, () -> request.client().onFailed(reason.failureCause()));
    }

    /**
     * Ends an open request whose time is up. A streamed request of which the last byte is not
     * written, and never will be, is not executed: it is rejected.
     */
    void expire(PendingRequest request) {
        boolean unfinished =
                request.isRequestStreaming()
                        && request.attempts().stream().noneMatch(Attempt::mayHaveExecuted);
        if (unfinished) {
            reject(request, EndReason.STREAMED_REQUEST_NOT_EXECUTED, 0);
        } else if (request.clientWait().isActive()
                && request.attempts().stream().noneMatch(Attempt::mayHaveExecuted)) {
            reject(request, EndReason.CLIENT_PRESENCE_UNKNOWN, 0);
        } else if (request.endpointListWait().isActive() && request.isProvenNotExecuted()) {
            reject(request, EndReason.ENDPOINT_LIST_STALE, 0);
        } else {
            fail(request, EndReason.DEADLINE_EXCEEDED);
        }
    }

    /** Starts to stream the response to the client. */
    void stream(PendingRequest request, StreamedResponse response) {
        respond(request, () -> request.client().onResponseStreaming(response));
    }

    /** Ends an open request if the outcome leaves the policy no decision to make. */
    void attemptEnded(Attempt attempt, Outcome outcome, UpstreamResponse response) {
        PendingRequest request = attempt.request();
        if (request.isResponseStreamingFrom(attempt)) {
            endStreamedResponse(request, outcome);
        } else if (outcome == Outcome.OK) {
            end(request, EndReason.SERVED);
            respond(request, () -> request.client().onServed(response));
        } else if (request.isRequestStreaming()) {
            endStreamedRequest(request, outcome);
        }
    }

    private void endStreamedResponse(PendingRequest request, Outcome outcome) {
        if (outcome == Outcome.OK) {
            end(request, EndReason.SERVED);
            respond(request, request.client()::onResponseComplete);
        } else {
            end(request, EndReason.RESPONSE_BROKEN_OFF);
            respond(request, request.client()::abort);
        }
    }

    /**
     * Ends a request that can't be sent again: as rejected if the outcome proves that it was not
     * executed, otherwise as failed.
     */
    private void endStreamedRequest(PendingRequest request, Outcome outcome) {
        if (outcome.provesNotExecuted()) {
            reject(request, EndReason.STREAMED_REQUEST_NOT_EXECUTED, 0);
        } else {
            fail(request, EndReason.STREAMED_REQUEST_FAILED);
        }
    }

    private void end(PendingRequest request, EndReason reason) {
        accounting.requestEnded(request, reason, reconciler.lastEventNanos());
    }

    /** Gives a response. If that fails, the policy is still notified of what happened. */
    private void respond(PendingRequest request, Runnable response) {
        try {
            response.run();
        } catch (RuntimeException e) {
            log.failure(
                    "writing the response to request " + request.clientRequest().id() + " failed",
                    e);
            request.client().abort();
        }
    }
}
