package appleridge.request;

import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;

/**
 * Executes the actions of the load-balancing policy. Ignores actions for requests that are no
 * longer tracked, and does not reject or fail a request that has ended or is being streamed. Event
 * loop only.
 */
final class PolicyActionExecutor implements PolicyActions {
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PolicySettings settings;
    private final EventLog log;
    private final RequestAccounting accounting;
    private final RequestCompletion completion;
    private final EndpointDirectory endpoints;
    private final AttemptTracker attempts;
    private final StallReconciler reconciler;
    private final PolicyInvoker policyInvoker;

    /** Null before {@link #start}. */
    private EndpointSubscription subscription;

    private boolean closed;

    PolicyActionExecutor(
            MonotonicClock clock,
            Scheduler scheduler,
            PolicySettings settings,
            EventLog log,
            RequestAccounting accounting,
            RequestCompletion completion,
            EndpointDirectory endpoints,
            AttemptTracker attempts,
            StallReconciler reconciler,
            PolicyInvoker policyInvoker) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.settings = settings;
        this.log = log;
        this.accounting = accounting;
        this.completion = completion;
        this.endpoints = endpoints;
        this.attempts = attempts;
        this.reconciler = reconciler;
        this.policyInvoker = policyInvoker;
    }

    /** Sets the source of the endpoint list; until then the policy must not request updates. */
    void start(EndpointSubscription source) {
        subscription = source;
    }

    /** From now on the policy's timers do nothing. */
    void close() {
        closed = true;
    }

    @Override
    public void sendAttempt(long id, long upstream, long timeoutNanos) {
        PendingRequest request = accounting.find(id);
        if (request == null) {
            log.failure(
                    "the policy ordered an attempt to host "
                            + upstream
                            + " of request "
                            + id
                            + ", which is not tracked",
                    null);
            return;
        }
        attempts.start(request, upstream, timeoutNanos);
    }

    /** A long response that is held for a retry is streamed instead. */
    @Override
    public void reject(long id, long waitNanos, AnswerReason reason) {
        PendingRequest request = accounting.find(id);
        if (request != null && request.isUncommitted() && !request.streamHeldResponse()) {
            request.setPolicyReason(reason);
            completion.reject(
                    request,
                    EndReason.POLICY_REJECTED,
                    settings.capabilities().allowedRetryAfterNanos(waitNanos));
        }
    }

    /**
     * Gives the client the known cause and no hint to retry. A long response that is held for a
     * retry is streamed instead.
     */
    @Override
    public void fail(long id, AnswerReason reason) {
        PendingRequest request = accounting.find(id);
        if (request != null && request.isUncommitted() && !request.streamHeldResponse()) {
            request.setPolicyReason(reason);
            boolean timedOut =
                    request.lastOutcome() == Outcome.TIMEOUT
                            || clock.nanoTime() >= request.deadlineNanos();
            completion.fail(
                    request, timedOut ? EndReason.DEADLINE_EXCEEDED : EndReason.POLICY_FAILED);
        }
    }

    /** An attempt whose response is being streamed is not cancelled: its client reads it. */
    @Override
    public void cancelAttempt(long id, int number) {
        PendingRequest request = accounting.find(id);
        if (request != null && number < request.attempts().size()) {
            Attempt attempt = request.attempts().get(number);
            if (!request.isResponseStreamingFrom(attempt)) {
                attempts.cancel(attempt);
            }
        }
    }

    @Override
    public void setTimer(long token, long at) {
        scheduler.scheduleAt(
                at,
                () -> {
                    if (!closed) {
                        reconciler.reconcile();
                        policyInvoker.notify(policy -> policy.onTimer(clock.nanoTime(), token));
                    }
                });
    }

    @Override
    public void closeIdleConnections(long upstream) {
        endpoints.closeIdleConnections(upstream);
    }

    @Override
    public void sendHealthCheck(long upstream) {
        throw new UnsupportedOperationException("this sidecar sends no health checks");
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        throw new UnsupportedOperationException("this sidecar has no peers");
    }

    @Override
    public void log(String line) {
        log.info(line);
    }

    @Override
    public void subscribe(boolean on) {
        subscription.subscribe(on);
    }

    @Override
    public void fetchEndpoints() {
        subscription.fetchEndpoints();
    }
}
