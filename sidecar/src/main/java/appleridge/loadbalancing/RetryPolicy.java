package appleridge.loadbalancing;

import java.util.Optional;

/**
 * Decides whether a request may be retried, and at which hosts. A request that may have executed
 * must not execute twice: a retry needs proof that no attempt has executed, or an idempotent class,
 * or hosts that still know the request's idempotency key.
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

    /** Whether a further attempt is safe now, regardless of its host and of the retry budget. */
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
            long now, RequestClass requestClass, TrackedAttempt first) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> RetryDecision.ALLOWED;
            case NON_IDEMPOTENT -> RetryDecision.NON_IDEMPOTENT;
            // One clock granule is kept in reserve, since the send takes effect at the end of the
            // batch.
            case IDEMPOTENT_BY_KEY ->
                    now + settings.clockGranularityNanos()
                                    < first.sentAt() + requestClass.idempotencyKeyTtlNanos()
                            ? RetryDecision.ALLOWED
                            : RetryDecision.IDEMPOTENCY_KEY_EXPIRED;
        };
    }

    /**
     * Decides on a retry after an attempt has ended without a usable response. {@link
     * RetryDecision#ALLOWED} takes the retry from the budget if the attempt may have executed; a
     * retry of an attempt that is proven not executed is free.
     */
    RetryDecision decideAndCharge(long now, TrackedRequest request, TrackedAttempt ended) {
        RetryDecision decision = decide(now, request);
        if (decision != RetryDecision.ALLOWED) {
            return decision;
        }
        // A request that no ready host may take would otherwise stay queued until it times out.
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

    /** Whether the request's next attempt, if one is allowed, may go to this host. */
    HostEligibility eligibility(TrackedRequest request, TrackedHost host) {
        if (!request.hasAttempts()) {
            return HostEligibility.ELIGIBLE;
        }
        if (request.wasSentTo(host)) {
            return HostEligibility.ALREADY_ATTEMPTED;
        }
        RequestClass requestClass = request.requestClass();
        Optional<TrackedAttempt> first = request.firstPossiblyExecutedAttempt();
        return first.isEmpty()
                        || requestClass.idempotency() != Idempotency.IDEMPOTENT_BY_KEY
                        || recognisesKey(
                                requestClass, first.get().host().endpoint(), host.endpoint())
                ? HostEligibility.ELIGIBLE
                : HostEligibility.OUTSIDE_DEDUPLICATION_SCOPE;
    }

    /**
     * Whether the candidate recognises the key of a request that may have executed at the first
     * host.
     */
    private static boolean recognisesKey(
            RequestClass requestClass, UpstreamHost first, UpstreamHost candidate) {
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.zone() == candidate.zone();
            case CELL -> first.cell() == candidate.cell();
        };
    }

    /**
     * Whether the client itself may safely retry, so that the request may be answered as rejected.
     */
    boolean isClientRetrySafe(TrackedRequest request) {
        RequestClass requestClass = request.requestClass();
        return request.firstPossiblyExecutedAttempt().isEmpty()
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENT_BY_KEY
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
