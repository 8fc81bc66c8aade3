package appleridge.http1;

/** Why this side closed the connection of an attempt that had not ended. */
enum UpstreamCloseReason {
    /** The attempt was cancelled or timed out. */
    CANCELLED("cancelled"),
    /** The response stopped arriving. */
    RESPONSE_STALLED("response_stalled"),
    /** The upstream took nothing of a streamed request for too long. */
    REQUEST_STALLED("request_stalled"),
    /** The request could not be written. */
    WRITE_FAILED("write_failed"),
    /** The response is malformed, too long or not wanted any more, or no buffer is free for it. */
    UNUSABLE_RESPONSE("unusable_response"),
    /** Reading or writing failed. */
    IO_ERROR("io_error"),
    /** Too many bytes of requests wait for upstreams to read. */
    UNSENT_LIMIT("unsent_limit");

    private final String label;

    UpstreamCloseReason(String label) {
        this.label = label;
    }

    /** The reason as it is written to the log. */
    String label() {
        return label;
    }
}
