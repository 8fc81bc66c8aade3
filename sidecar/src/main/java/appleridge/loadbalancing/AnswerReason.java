package appleridge.loadbalancing;

/** Which rule of the policy gave a request its final answer; for logs. */
public enum AnswerReason {
    /** Its deadline passed while it was queued, in flight or deferred. */
    DEADLINE_PASSED("deadline_passed"),
    /** Discovery shows no ready host. */
    NO_READY_HOST("no_ready_host"),
    /** Overload: answers come late all over the fleet ({@link LoadShedder}). */
    LOAD_SHEDDING("load_shedding"),
    /** Requests were queued lately, and this one's answer would come too late to be of value. */
    OBJECTIVE_OUT_OF_REACH("objective_out_of_reach"),
    /** It was queued for capacity for so long that its answer would come too late. */
    QUEUE_TIME_EXCEEDED("queue_time_exceeded"),
    /** Its attempt failed, and {@link RetryPolicy} refuses a retry; see {@link RetryDecision}. */
    RETRY_ATTEMPT_OUTSTANDING("retry_attempt_outstanding"),
    RETRY_STREAMING_STARTED("retry_response_started"),
    RETRY_MAX_ATTEMPTS("retry_max_attempts"),
    RETRY_NON_IDEMPOTENT("retry_non_idempotent"),
    RETRY_IDEMPOTENCY_KEY_EXPIRED("retry_idempotency_key_expired"),
    RETRY_NO_ELIGIBLE_HOST("retry_no_eligible_host"),
    RETRY_VALUE_EXPIRED("retry_value_expired"),
    RETRY_BUDGET_EXHAUSTED("retry_budget_exhausted");

    private final String label;

    AnswerReason(String label) {
        this.label = label;
    }

    /** The word in the log. */
    public String label() {
        return label;
    }
}
