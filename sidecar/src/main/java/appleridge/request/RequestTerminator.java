package appleridge.request;

import appleridge.loadbalancing.PolicySettings;
import java.util.concurrent.TimeUnit;

/**
 * Ends requests for reasons outside the load-balancing policy: the client has disconnected, the
 * time is up, or nothing may be sent. The policy is notified. Event loop only.
 */
final class RequestTerminator {
    /** When to retry a request that was rejected for want of a list; longer than a failed poll. */
    private static final long ENDPOINT_LIST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final MonotonicClock clock;
    private final PolicySettings settings;
    private final StallReconciler reconciler;
    private final RequestCompletion completion;
    private final PolicyInvoker policyInvoker;

    /** Null before {@link #attach}. */
    private AttemptTracker attempts;

    RequestTerminator(
            MonotonicClock clock,
            PolicySettings settings,
            StallReconciler reconciler,
            RequestCompletion completion,
            PolicyInvoker policyInvoker) {
        this.clock = clock;
        this.settings = settings;
        this.reconciler = reconciler;
        this.completion = completion;
        this.policyInvoker = policyInvoker;
    }

    /** Sets the tracker of the requests' attempts. */
    void attach(AttemptTracker tracker) {
        attempts = tracker;
    }

    /**
     * Expires a request whose time is up and which the policy has not ended. A long response that
     * is held for a retry is streamed instead.
     */
    void expire(PendingRequest request) {
        reconciler.reconcile();
        if (request.streamHeldResponse()) {
            return;
        }
        if (request.isOpen()) {
            completion.expire(request);
        }
        release(request);
    }

    /**
     * Rejects a request whose time is up and of whose client nobody knows that it is still there.
     */
    void rejectUnknownClient(PendingRequest request) {
        reconciler.reconcile();
        if (request.isUncommitted()) {
            completion.expire(request);
            release(request);
        }
    }

    /**
     * Rejects a request of which nothing has been sent, because each host may be draining. Of
     * another one only the attempts end that have not begun, and the policy decides.
     */
    void giveUpWithoutEndpointList(PendingRequest request) {
        if (request.isUncommitted() && request.isProvenNotExecuted()) {
            completion.reject(
                    request,
                    EndReason.ENDPOINT_LIST_STALE,
                    settings.capabilities().allowedRetryAfterNanos(ENDPOINT_LIST_RETRY_NANOS));
            release(request);
        } else {
            attempts.cancelUnwritten(request);
        }
    }

    /** Rejects a request of which nothing has been sent, because its client's limits end it. */
    void giveUp(PendingRequest request) {
        reconciler.reconcile();
        if (request.isUncommitted()
                && request.attempts().stream().noneMatch(Attempt::hasStartedWriting)) {
            EndReason reason =
                    request.clientWait().isActive()
                            ? EndReason.CLIENT_PRESENCE_UNKNOWN
                            : EndReason.BUFFER_LIMIT;
            completion.reject(request, reason, 0);
            release(request);
        }
    }

    /** Ends a request whose client has disconnected. */
    void clientDisconnected(PendingRequest request) {
        reconciler.reconcile();
        if (request.isOpen()) {
            completion.clientDisconnected(request);
            release(request);
        }
    }

    /**
     * Cancels the unwritten attempts of a request that has ended, and all attempts of a streamed
     * one, which the policy does not cancel; notifies the policy.
     */
    private void release(PendingRequest request) {
        attempts.cancelUnwritten(request);
        if (request.isStreaming()) {
            request.attempts().forEach(attempts::cancel);
        }
        policyInvoker.notify(policy -> policy.onClientDisconnected(clock.nanoTime(), request.id()));
    }
}
