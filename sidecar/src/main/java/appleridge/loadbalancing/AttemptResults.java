package appleridge.loadbalancing;

/**
 * Handles the start of a response and the end of an attempt: passes the result on to the rules, and
 * retries, answers or closes the request.
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
     * A response or a request too long to be buffered has started. The rest takes as long as the
     * client reads or writes, which says nothing about the host and must not occupy it.
     *
     * @param isResponse false if it is the request that has started, which says nothing about
     *     response times
     */
    void onResponseStarted(
            long now, TrackedRequest request, TrackedAttempt attempt, boolean isResponse) {
        if (!attempt.isOutstanding() || attempt.hasTransferStarted()) {
            return;
        }
        attempt.startTransfer();
        attempt.host().attemptDone();
        if (isResponse) {
            recordOutcome(now, request, attempt, Outcome.OK);
        }
    }

    /**
     * An outstanding attempt has ended.
     *
     * @param requestEnded whether the request has ended, by this outcome or before
     */
    void onAttemptEnded(
            long now,
            TrackedRequest request,
            TrackedAttempt attempt,
            Outcome outcome,
            boolean requestEnded) {
        attempt.end(outcome);
        TrackedHost host = attempt.host();
        if (attempt.hasTransferStarted()) {
            if (outcome == Outcome.RESET) {
                health.onStartedResponseReset(now, host);
            }
            subset.closeIfIdleOutsider(host);
            requests.close(request);
            return;
        }
        host.attemptDone();
        recordOutcome(now, request, attempt, outcome);
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

    private void recordOutcome(
            long now, TrackedRequest request, TrackedAttempt attempt, Outcome outcome) {
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
