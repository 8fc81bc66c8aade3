package appleridge.request;

import appleridge.request.RequestMetrics.RequestEnd;

/** Which rule ended a request; logged as {@code reason=} of {@link LogEvent#REQUEST_ENDED}. */
enum EndReason {
    /** An upstream's good response was given whole. */
    SERVED("served", RequestEnd.SERVED),
    /** As many requests are open as may be at once. */
    OPEN_REQUEST_LIMIT("open_request_limit", RequestEnd.REJECTED),
    /**
     * The load-balancing policy rejected it: shed, refused a retry, or expired, and a retry by the
     * client is safe. The log's {@code rule=} names the rule.
     */
    POLICY_REJECTED("policy_rejected", RequestEnd.REJECTED),
    /** It was streamed, can't be sent again, and its attempt proves that it was not executed. */
    STREAMED_REQUEST_NOT_EXECUTED("streamed_request_not_executed", RequestEnd.REJECTED),
    /** Another request is open under the same client's id. */
    ID_IN_USE("id_in_use", RequestEnd.FAILED),
    /** Its deadline, or the shutdown deadline, passed. */
    DEADLINE_EXCEEDED("deadline_exceeded", RequestEnd.FAILED),
    /** The policy gave it up after an attempt that brought no usable response. */
    POLICY_FAILED("policy_failed", RequestEnd.FAILED),
    /** It was streamed, can't be sent again, and may have been executed. */
    STREAMED_REQUEST_FAILED("streamed_request_failed", RequestEnd.FAILED),
    /** The upstream's response broke off after a part of it had gone to the client. */
    RESPONSE_BROKEN_OFF("response_broken_off", RequestEnd.FAILED),
    /** The client left first. */
    CLIENT_DISCONNECTED("client_disconnected", RequestEnd.CLIENT_DISCONNECTED);

    private final String label;
    private final RequestEnd end;

    EndReason(String label, RequestEnd end) {
        this.label = label;
        this.end = end;
    }

    /** The word in the log. */
    String label() {
        return label;
    }

    /**
     * What the client of a failed request is told of the cause.
     *
     * @throws IllegalStateException where the request did not fail
     */
    ResponseSink.FailureCause failureCause() {
        return switch (this) {
            case ID_IN_USE -> ResponseSink.FailureCause.ID_IN_USE;
            case DEADLINE_EXCEEDED -> ResponseSink.FailureCause.DEADLINE_EXCEEDED;
            case POLICY_FAILED, STREAMED_REQUEST_FAILED -> ResponseSink.FailureCause.UPSTREAM;
            default -> throw new IllegalStateException(this + " is no failure with a response");
        };
    }

    /** The end as which the metrics count it. */
    RequestEnd end() {
        return end;
    }
}
