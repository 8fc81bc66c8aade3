package appleridge.request;

import appleridge.loadbalancing.Outcome;

/**
 * Gives requests their one final response: each ends in the accounts first, and then its client is
 * answered. Event loop only.
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

    /** Ends an open request to whose client nothing can be said any more. */
    void clientDisconnected(PendingRequest request) {
        end(request, EndReason.CLIENT_DISCONNECTED);
    }

    /** Ends an open request as not executed; a wait of 0 gives the client no guidance. */
    void reject(PendingRequest request, EndReason reason, long waitNanos) {
        end(request, reason);
        respond(request, () -> request.client().onRejected(waitNanos));
    }

    /** Ends an open request with no promise about effects. */
    void fail(PendingRequest request, EndReason reason) {
        end(request, reason);
        respond(request, () -> request.client().onFailed(reason.failureCause()));
    }

    /** The request's response begins to be streamed to its client. */
    void stream(PendingRequest request, StreamedResponse response) {
        respond(request, () -> request.client().onResponseStreaming(response));
    }

    /** Ends an open request where this outcome leaves nothing for the policy to decide. */
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

    /** It can't be sent again, and its client learns only what is proven. */
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

    /** A response that can't be given must not keep the policy from learning what happened. */
    private void respond(PendingRequest request, Runnable response) {
        try {
            response.run();
        } catch (RuntimeException e) {
            log.failure("a response can't be given", e);
            request.client().abort();
        }
    }
}
