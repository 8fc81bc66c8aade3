package appleridge.loadbalancing;

/** Whether requests of a class may be retried after an attempt that may have executed. */
public enum Idempotency {
    /** Always: a second execution is harmless. */
    IDEMPOTENT,
    /**
     * At hosts of the {@link DeduplicationScope}, while they still know the request's idempotency
     * key.
     */
    IDEMPOTENT_BY_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
