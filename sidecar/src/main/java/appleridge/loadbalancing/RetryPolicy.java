package appleridge.loadbalancing;

import java.util.Optional;

/**
 * Whether a request may be attempted again, and at which hosts. What may have executed must not
 * execute twice: a retry needs proof that no attempt has, or an idempotent class, or hosts that
 * still know the request's idempotency key.
 */
final class RetryPolicy {
    private final PolicySettings settings;
    private final HostRegistry registry;
    private final RetryBudget budget;

    RetryPolicy(PolicySettings settings, HostRegistry registry, RetryBudget budget) {
        this.settings = settings;
        this.registry = registry;
        this.budget = budget;
    }

    /** Whether a further attempt is safe now, whichever host it goes to and whatever it costs. */
    RetryDecision decide(long now, TrackedRequest request) {
        if (request.isClosed()) {
            return RetryDecision.REQUEST_CLOSED;
        }
        if (request.isStreaming()) {
            return RetryDecision.STREAMING_STARTED;
        }
        if (now >= request.deadline()) {
            return RetryDecision.DEADLINE_PASSED;
        }
        if (request.isAttemptOutstanding()) {
            return RetryDecision.ATTEMPT_OUTSTANDING;
        }
        if (request.attemptCount() >= settings.capabilities().maxAttempts()) {
            return RetryDecision.MAX_ATTEMPTS;
        }
        Optional<TrackedAttempt> first = request.firstPossiblyExecutedAttempt();
        return first.isEmpty()
                ? RetryDecision.ALLOWED
                : decideAfterPossibleExecution(now, request.requestClass(), first.get());
    }

    private RetryDecision decideAfterPossibleExecution(
            long now, RequestClass kind, TrackedAttempt first) {
        return switch (kind.idempotency()) {
            case IDEMPOTENT -> RetryDecision.ALLOWED;
            case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;
            // One clock granule is kept back: the send takes effect at the end of this batch.
            case IDEMPOTENT_BY_KEY ->
                    now + settings.clockGranularityNanos()
                                    < first.sentAt() + kind.idempotencyKeyTtlNanos()
                            ? RetryDecision.ALLOWED
                            : RetryDecision.IDEMPOTENCY_KEY_EXPIRED;
        };
    }

    /**
     * Whether to retry now that an attempt has ended without an answer. {@link
     * RetryDecision#ALLOWED} takes the retry off the budget if the attempt may have executed; an
     * attempt that is proven not executed is free.
     */
    RetryDecision decideAndCharge(long now, TrackedRequest request, TrackedAttempt ended) {
        RetryDecision decision = decide(now, request);
        if (decision != RetryDecision.ALLOWED) {
            return decision;
        }
        // Queued with no host left to try, it would stay queued until it times out.
        if (registry.ready().stream()
                .noneMatch(host -> eligibility(request, host) == HostEligibility.ELIGIBLE)) {
            return RetryDecision.NO_ELIGIBLE_HOST;
        }
        if (now >= request.valueExpiresAt()) {
            return RetryDecision.VALUE_EXPIRED;
        }
        return ended.mayHaveExecuted() && !budget.tryAcquire()
                ? RetryDecision.RETRY_BUDGET_EXHAUSTED
                : RetryDecision.ALLOWED;
    }

    /** Whether the request's next attempt, if there may be one, may go to this host. */
    HostEligibility eligibility(TrackedRequest request, TrackedHost host) {
        if (!request.hasAttempts()) {
            return HostEligibility.ELIGIBLE;
        }
        if (request.wasSentTo(host)) {
            return HostEligibility.ALREADY_ATTEMPTED;
        }
        RequestClass kind = request.requestClass();
        Optional<TrackedAttempt> first = request.firstPossiblyExecutedAttempt();
        return first.isEmpty()
                        || kind.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
                        || recognisesKey(kind, first.get().host().endpoint(), host.endpoint())
                ? HostEligibility.ELIGIBLE
                : HostEligibility.OUTSIDE_DEDUPLICATION_SCOPE;
    }

    /** Whether a host drops a repeat of what may have executed at another one. */
    private static boolean recognisesKey(
            RequestClass kind, UpstreamHost first, UpstreamHost candidate) {
        return switch (kind.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.zone() == candidate.zone();
            case CELL -> first.cell() == candidate.cell();
        };
    }

    /** Whether a retry by the client itself can do no harm, so that the request may be rejected. */
    boolean isClientRetrySafe(TrackedRequest request) {
        RequestClass kind = request.requestClass();
        return request.firstPossiblyExecutedAttempt().isEmpty()
                || kind.idempotency() == Idempotency.IDEMPOTENT
                || kind.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        && kind.deduplicationScope() == DeduplicationScope.ALL;
    }
}
