package appleridge.loadbalancing;

/** Whether a request may be attempted again, and if not, which rule refuses the retry. */
enum RetryDecision {
    ALLOWED,
    /** It has its final answer, or its client has left. */
    REQUEST_CLOSED,
    /** Its response or its body is being streamed, so that the attempt can't be replaced. */
    RESPONSE_STARTED,
    DEADLINE_PASSED,
    /** Its last attempt has not ended; there are no hedged requests. */
    ATTEMPT_OUTSTANDING,
    /** {@link Capabilities#maxAttempts} have been made. */
    MAX_ATTEMPTS,
    /** An attempt may have executed, and the class forbids a second execution. */
    NON_IDEMPOTENT,
    /** An attempt may have executed, and hosts are about to forget its idempotency key. */
    IDEMPOTENCY_KEY_EXPIRED,
    /** No ready host is left that was not tried and lies in the deduplication scope. */
    NO_ELIGIBLE_HOST,
    /** An answer would come too late to be of value. */
    VALUE_EXPIRED,
    /** An attempt may have executed, and the retry would exceed the {@link RetryBudget}. */
    RETRY_BUDGET_EXHAUSTED
}
