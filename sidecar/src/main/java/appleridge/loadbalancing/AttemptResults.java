package appleridge.loadbalancing;

/**
 * What follows from the start of a response and from the end of an attempt: the rules learn from
 * it, and the request is retried, answered or closed.
 */
final class AttemptResults {
    private final HostHealth health;
    private final LoadShedder shedder;
    private final HostConcurrencyLimit concurrency;
    private final ReferenceThroughput throughput;
    private final HostSubset subset;
    private final RetryPolicy retryPolicy;
    private final AdmissionController admission;
    private final InFlightRequests requests;

    AttemptResults(
            HostRules hosts,
            HostHealth health,
            LoadShedder shedder,
            RetryPolicy retryPolicy,
            AdmissionController admission,
            InFlightRequests requests) {
        this.concurrency = hosts.concurrency;
        this.throughput = hosts.throughput;
        this.subset = hosts.subset;
        this.health = health;
        this.shedder = shedder;
        this.retryPolicy = retryPolicy;
        this.admission = admission;
        this.requests = requests;
    }

    /**
     * A response too long to be buffered has started, or a request too long to be buffered has. The
     * rest takes as long as the client reads or writes, which says nothing of the host and must not
     * occupy it.
     *
     * @param answered false where it is the request that has started, which says nothing of
     *     response times
     */
    void onResponseStarted(
            long now, TrackedRequest request, TrackedAttempt attempt, boolean answered) {
        if (!attempt.isOutstanding() || attempt.hasResponseStarted()) {
            return;
        }
        attempt.startResponse();
        attempt.host().attemptDone();
        if (answered) {
            learn(now, request, attempt, Outcome.OK);
        }
    }

    /**
     * An outstanding attempt has ended.
     *
     * @param requestEnded the request has ended, by this outcome or before
     */
    void onAttemptEnded(
            long now,
            TrackedRequest request,
            TrackedAttempt attempt,
            Outcome outcome,
            boolean requestEnded) {
        attempt.end(outcome);
        TrackedHost host = attempt.host();
        if (attempt.hasResponseStarted()) {
            if (outcome == Outcome.RESET) {
                health.onStartedResponseReset(now, host);
            }
            subset.closeIfIdleOutsider(host);
            requests.close(request);
            return;
        }
        host.attemptDone();
        learn(now, request, attempt, outcome);
        subset.closeIfIdleOutsider(host);
        if (requestEnded || request.isClosed()) {
            requests.close(request);
        } else {
            retryOrAnswer(now, request, attempt);
        }
    }

    private void retryOrAnswer(long now, TrackedRequest request, TrackedAttempt ended) {
        RetryDecision decision = retryPolicy.decideAndCharge(now, request, ended);
        if (decision == RetryDecision.ALLOWED) {
            admission.admit(now, request);
        } else {
            requests.answer(request, decision.answerReason());
        }
    }

    private void learn(long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
        health.onAttemptEnded(now, request, attempt, outcome);
        if (outcome != Outcome.CONNECT_FAILED) {
            shedder.onAttemptEnded(now, request, attempt, outcome);
            concurrency.onAttemptEnded(now, request, attempt, outcome);
        }
        if (outcome == Outcome.OK) {
            throughput.onServed(now, request);
        }
    }
}
