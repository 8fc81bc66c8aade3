package appleridge.loadbalancing;

/** All rules that decide whether one host may take one request, the cheapest first. */
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
     * The first rule that forbids it. The slow-start budget comes last, since asking it draws a
     * random number and refills the host's credit.
     *
     * @param ownTurn the ring points to this host, no other one has passed its turn on
     * @param ignoreEjection the panic mode, for when every ready host is ejected
     */
    HostEligibility check(
            long now,
            TrackedHost host,
            TrackedRequest request,
            boolean ownTurn,
            boolean ignoreEjection) {
        HostEligibility scope = retryPolicy.eligibility(request, host);
        if (scope != HostEligibility.ELIGIBLE) {
            return scope;
        }
        if (!concurrency.hasCapacity(now, host)) {
            return HostEligibility.AT_CONCURRENCY_LIMIT;
        }
        HostEligibility ejection =
                ignoreEjection ? HostEligibility.ELIGIBLE : health.eligibility(now, host);
        if (ejection != HostEligibility.ELIGIBLE) {
            return ejection;
        }
        return slowStart.admits(now, host, request, ownTurn)
                ? HostEligibility.ELIGIBLE
                : HostEligibility.SLOW_START_BUDGET_SPENT;
    }
}
