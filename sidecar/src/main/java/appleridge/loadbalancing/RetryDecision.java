package appleridge.loadbalancing;

/** Whether a request may be attempted again, and if not, which rule refuses the retry. */
enum RetryDecision {
    ALLOWED(null),
    /** It has its final answer, or its client has left. */
    REQUEST_CLOSED(null),
    /** Its response or its request body is being streamed, so its attempt can't be replaced. */
    STREAMING_STARTED(AnswerReason.RETRY_STREAMING_STARTED),
    DEADLINE_PASSED(AnswerReason.DEADLINE_PASSED),
    /** Its last attempt has not ended; there are no hedged requests. */
    ATTEMPT_OUTSTANDING(AnswerReason.RETRY_ATTEMPT_OUTSTANDING),
    /** It has had {@link Capabilities#maxAttempts} attempts. */
    MAX_ATTEMPTS(AnswerReason.RETRY_MAX_ATTEMPTS),
    /** An attempt may have executed, and the class forbids a second execution. */
    NON_IDEMPOTENT(AnswerReason.RETRY_NON_IDEMPOTENT),
    /** An attempt may have executed, and hosts are about to forget its idempotency key. */
    IDEMPOTENCY_KEY_EXPIRED(AnswerReason.RETRY_IDEMPOTENCY_KEY_EXPIRED),
    /** Every ready host was tried before or lies outside of the deduplication scope. */
    NO_ELIGIBLE_HOST(AnswerReason.RETRY_NO_ELIGIBLE_HOST),
    /** An answer would come too late to be of value. */
    VALUE_EXPIRED(AnswerReason.RETRY_VALUE_EXPIRED),
    /** An attempt may have executed, and the retry would exceed the {@link RetryBudget}. */
    RETRY_BUDGET_EXHAUSTED(AnswerReason.RETRY_BUDGET_EXHAUSTED);

    private final AnswerReason answerReason;

    RetryDecision(AnswerReason answerReason) {
        this.answerReason = answerReason;
    }

    /**
     * The reason of the final answer if the request is not retried; null for {@link #ALLOWED} and
     * {@link #REQUEST_CLOSED}.
     */
    AnswerReason answerReason() {
        return answerReason;
    }
}
