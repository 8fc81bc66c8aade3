package appleridge.loadbalancing;

/** Whether a class of requests may be attempted again after an attempt that may have executed. */
public enum Idempotency {
    /** Always: executing it twice does no harm. */
    IDEMPOTENT,
    /** While hosts of the {@link DeduplicationScope} still know the request's idempotency key. */
    IDEMPOTENT_BY_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
