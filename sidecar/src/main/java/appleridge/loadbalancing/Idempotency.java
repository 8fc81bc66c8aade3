package appleridge.loadbalancing;

/** What a class of request allows after an attempt that may have run. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENT_BY_KEY,
    NON_IDEMPOTENT
}
