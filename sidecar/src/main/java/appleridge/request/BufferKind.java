package appleridge.request;

/** What buffered bytes are held for; each kind has a metric of its own. */
public enum BufferKind {
    /** Requests of which the last byte has not arrived. */
    PARTIAL_REQUESTS("partial_requests"),
    /** Whole requests, until they and all their attempts have ended. */
    REQUESTS("requests"),
    /** Requests that are streamed to an upstream host. */
    STREAMED_REQUESTS("streamed_requests"),
    /** Bodies of streamed requests that are read ahead of their upstream host. */
    READ_AHEAD("read_ahead"),
    /** Responses of which the last byte has not arrived. */
    PARTIAL_RESPONSES("partial_responses"),
    /** Whole responses that wait for the responses before them on the same connection. */
    QUEUED_RESPONSES("queued_responses"),
    /** Responses that are streamed to a client. */
    STREAMED_RESPONSES("streamed_responses");

    private final String label;

    BufferKind(String label) {
        this.label = label;
    }

    /** The kind as it is written to the log and to the names of metrics. */
    public String label() {
        return label;
    }
}
