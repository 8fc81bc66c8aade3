package appleridge.loadbalancing;

/** Which rule of the policy decided a request's final answer; written to the request log. */
public enum AnswerReason {
    /** The deadline passed while the request was queued, in flight or deferred. */
    DEADLINE_PASSED("deadline_passed"),
    /** Discovery shows no ready host. */
    NO_READY_HOST("no_ready_host"),
    /**
     * The fleet is overloaded: responses are late at hosts of the whole fleet; see {@link
     * LoadShedder}.
     */
    LOAD_SHEDDING("load_shedding"),
    /**
     * Requests have been queued recently, and this one's answer would come too late to be of value.
     */
    OBJECTIVE_OUT_OF_REACH("objective_out_of_reach"),
    /** The request waited for capacity for so long that its answer would come too late. */
    QUEUE_TIME_EXCEEDED("queue_time_exceeded"),
    /** An attempt failed and {@link RetryPolicy} refuses a retry; see {@link RetryDecision}. */
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

    /** The value written to the log. */
    public String label() {
        return label;
    }
}
