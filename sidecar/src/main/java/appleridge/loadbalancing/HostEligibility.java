package appleridge.loadbalancing;

/** Whether a host may take a request's next attempt now, and if not, which rule forbids it. */
enum HostEligibility {
    ELIGIBLE,
    /** The request has already been sent to the host. */
    ALREADY_ATTEMPTED,
    /** The host might not recognise the idempotency key of an attempt that may have executed. */
    OUTSIDE_DEDUPLICATION_SCOPE,
    /** This sidecar's in-flight and abandoned attempts have reached the host's limit. */
    AT_CONCURRENCY_LIMIT,
    /** The host is ejected after a failed connect, until its next half-open probe. */
    EJECTED_HOST,
    /** The host's whole zone is ejected, until its next half-open probe. */
    EJECTED_ZONE,
    /** The host is warming up and its budget is spent. */
    SLOW_START_BUDGET_SPENT
}
