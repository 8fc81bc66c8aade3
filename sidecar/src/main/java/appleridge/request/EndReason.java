package appleridge.request;

import appleridge.request.RequestMetrics.RequestEnd;

/** Why a request ended; logged as {@code reason=} of {@link LogEvent#REQUEST_ENDED}. */
enum EndReason {
    /** The client was given the whole successful response of an upstream host. */
    SERVED("served", RequestEnd.SERVED),
    /** The limit of open requests was reached. */
    OPEN_REQUEST_LIMIT("open_request_limit", RequestEnd.REJECTED),
    /** Too many bytes of requests were buffered, so that this one was not read. */
    BUFFER_LIMIT("buffer_limit", RequestEnd.REJECTED),
    /**
     * The load-balancing policy rejected the request because of load, because it allows no further
     * attempt or because the request expired. A retry by the client is safe. The log's {@code
     * rule=} names the rule.
     */
    POLICY_REJECTED("policy_rejected", RequestEnd.REJECTED),
    /** Nobody knew that the client was still there, so that no attempt began. */
    CLIENT_PRESENCE_UNKNOWN("client_presence_unknown", RequestEnd.REJECTED),
    /**
     * The endpoint list was stale for so long that each host may be draining, so that no attempt
     * began.
     */
    ENDPOINT_LIST_STALE("endpoint_list_stale", RequestEnd.REJECTED),
    /** A streamed request, which can't be sent again, failed and was provably not executed. */
    STREAMED_REQUEST_NOT_EXECUTED("streamed_request_not_executed", RequestEnd.REJECTED),
    /** Another open request has the same id. */
    ID_IN_USE("id_in_use", RequestEnd.FAILED),
    /** A request with the same id, which must not be executed twice, may have been executed. */
    ID_MAY_HAVE_EXECUTED("id_may_have_executed", RequestEnd.FAILED),
    /** The deadline of the request, or the shutdown deadline, passed. */
    DEADLINE_EXCEEDED("deadline_exceeded", RequestEnd.FAILED),
    /** The policy failed the request after an attempt without a usable response. */
    POLICY_FAILED("policy_failed", RequestEnd.FAILED),
    /** A streamed request, which can't be sent again, failed and may have been executed. */
    STREAMED_REQUEST_FAILED("streamed_request_failed", RequestEnd.FAILED),
    /** The response broke off after a part of it had been sent to the client. */
    RESPONSE_BROKEN_OFF("response_broken_off", RequestEnd.FAILED),
    /** The client disconnected before it had its response. */
    CLIENT_DISCONNECTED("client_disconnected", RequestEnd.CLIENT_DISCONNECTED);

    private final String label;
    private final RequestEnd end;

    EndReason(String label, RequestEnd end) {
        this.label = label;
        this.end = end;
    }

    /** The reason as it is written to the log. */
    String label() {
        return label;
    }

    /**
     * Returns the cause that the client of a failed request is given.
     *
     * @throws IllegalStateException if a request that ends for this reason gets no failure response
     */
    ResponseSink.FailureCause failureCause() {
        return switch (this) {
            case ID_IN_USE, ID_MAY_HAVE_EXECUTED -> ResponseSink.FailureCause.ID_IN_USE;
            case DEADLINE_EXCEEDED -> ResponseSink.FailureCause.DEADLINE_EXCEEDED;
            case POLICY_FAILED, STREAMED_REQUEST_FAILED -> ResponseSink.FailureCause.UPSTREAM;
            default ->
                    throw new IllegalStateException(
                            "no failure response exists for end reason " + this);
        };
    }

    /** The end that the metrics count for this reason. */
    RequestEnd end() {
        return end;
    }
}
