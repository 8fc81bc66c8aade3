package appleridge.request;

import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicySettings;

/** Applies the events of attempts to their requests and passes them to the policy. */
final class AttemptEventHandler implements AttemptTracker.Listener {
    private static final float[] NO_LOAD = {};

    private final MonotonicClock clock;
    private final PolicySettings settings;
    private final RequestLog requestLog;
    private final RequestAccounting accounting;
    private final RequestCompletion completion;
    private final RequestDeadlines deadlines;
    private final PolicyInvoker policyInvoker;

    /** Null before {@link #attach}. */
    private AttemptTracker attempts;

    AttemptEventHandler(
            MonotonicClock clock,
            PolicySettings settings,
            RequestLog requestLog,
            RequestAccounting accounting,
            RequestCompletion completion,
            RequestDeadlines deadlines,
            PolicyInvoker policyInvoker) {
        this.clock = clock;
        this.settings = settings;
        this.requestLog = requestLog;
        this.accounting = accounting;
        this.completion = completion;
        this.deadlines = deadlines;
        this.policyInvoker = policyInvoker;
    }

    /** Sets the tracker whose events are handled. */
    void attach(AttemptTracker tracker) {
        attempts = tracker;
    }

    /**
     * From now on the client has a part of this response, so no other response and no further
     * attempt may follow, even if the rest of it fails.
     */
    @Override
    public boolean onResponseStarted(Attempt attempt, StreamedResponse response) {
        PendingRequest request = attempt.request();
        if (attempt.hasEnded()
                || !request.isOpen()
                || request.isResponseStreaming()
                || !request.client().reserveStream()) {
            return false;
        }
        request.responseStreamingStarted(attempt);
        request.attempts().stream().filter(other -> other != attempt).forEach(attempts::cancel);
        completion.stream(request, response);
        notifyStreaming(attempt, clock.nanoTime() - attempt.sentAtNanos());
        return true;
    }

    /** The streamed part of a request is not buffered and can't be sent to another host. */
    @Override
    public void onRequestStreamingStarted(Attempt attempt) {
        PendingRequest request = attempt.request();
        if (request.isOpen()) {
            request.requestStreamingStarted(attempt);
            deadlines.scheduleForStreaming(request);
            notifyStreaming(attempt, -1);
        }
    }

    private void notifyStreaming(Attempt attempt, long elapsedNanos) {
        policyInvoker.notify(
                policy ->
                        policy.onResponseStarted(
                                clock.nanoTime(),
                                attempt.request().id(),
                                attempt.number(),
                                attempt.upstream(),
                                elapsedNanos));
    }

    /** Notifies the policy of the end of each attempt once, even if the request has ended. */
    @Override
    public void onAttemptEnded(Attempt attempt, Outcome outcome, UpstreamResponse response) {
        requestLog.ended(attempt, outcome);
        PendingRequest request = attempt.request();
        request.recordOutcome(outcome);
        if (request.isOpen()) {
            completion.attemptEnded(attempt, outcome, response);
        }
        float[] load =
                response == null ? NO_LOAD : response.loadReport(settings.loadReportFields());
        policyInvoker.notify(policy -> notifyEnded(policy, attempt, outcome, load));
        accounting.attemptEnded(request);
    }

    private void notifyEnded(
            LoadBalancingPolicy policy, Attempt attempt, Outcome outcome, float[] load) {
        long now = clock.nanoTime();
        policy.onAttemptEnded(
                now,
                attempt.request().id(),
                attempt.number(),
                attempt.upstream(),
                outcome,
                now - attempt.sentAtNanos(),
                !attempt.request().isOpen(),
                load);
    }
}
