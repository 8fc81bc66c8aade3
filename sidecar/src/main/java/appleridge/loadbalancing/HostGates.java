package appleridge.loadbalancing;

/** Applies all rules that decide whether a host may take a request, the cheapest first. */
final class HostGates {
    private final RetryPolicy retryPolicy;
    private final HostConcurrencyLimit concurrency;
    private final HostHealth health;
    private final SlowStartBudget slowStart;

    HostGates(
            RetryPolicy retryPolicy,
            HostConcurrencyLimit concurrency,
            HostHealth health,
            SlowStartBudget slowStart) {
        this.retryPolicy = retryPolicy;
        this.concurrency = concurrency;
        this.health = health;
        this.slowStart = slowStart;
    }

    /**
     * Returns the first rule that forbids the request, or {@link HostEligibility#ELIGIBLE}. The
     * slow-start budget comes last, since its check draws a random number and refills the host's
     * credit.
     *
     * @param ownTurn whether the cursor of the ring is at this host, so that it does not replace a
     *     host that could not take its turn
     * @param ignoreEjection whether ejected hosts are eligible too: the panic mode, used when every
     *     ready host is ejected
     */
    HostEligibility check(
            long now,
            TrackedHost host,
            TrackedRequest request,
            boolean ownTurn,
            boolean ignoreEjection) {
        HostEligibility retryEligibility = retryPolicy.eligibility(request, host);
        if (retryEligibility != HostEligibility.ELIGIBLE) {
            return retryEligibility;
        }
        if (!concurrency.hasCapacity(now, host)) {
            return HostEligibility.AT_CONCURRENCY_LIMIT;
        }
        HostEligibility healthEligibility =
                ignoreEjection ? HostEligibility.ELIGIBLE : health.eligibility(now, host);
        if (healthEligibility != HostEligibility.ELIGIBLE) {
            return healthEligibility;
        }
        return slowStart.admits(now, host, request, ownTurn)
                ? HostEligibility.ELIGIBLE
                : HostEligibility.SLOW_START_BUDGET_SPENT;
    }
}
