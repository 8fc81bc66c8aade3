package appleridge.loadbalancing;

/** Whether a host may take a request's next attempt now, and if not, which rule forbids it. */
enum HostEligibility {
    ELIGIBLE,
    /** The request was sent to it before. */
    ALREADY_ATTEMPTED,
    /** It might not recognise the idempotency key of an attempt that may have executed. */
    OUTSIDE_DEDUPLICATION_SCOPE,
    /** This sidecar's in-flight attempts and abandoned ones have reached its limit. */
    AT_CONCURRENCY_LIMIT,
    /** Ejected after a failed connect, until the next half-open probe. */
    EJECTED_HOST,
    /** Its whole zone is ejected, until the next half-open probe. */
    EJECTED_ZONE,
    /** It is warming up and its budget is spent. */
    SLOW_START_BUDGET_SPENT
}
