package appleridge.request;

/**
 * Takes a request's one final response and writes it in its client's protocol. Event loop only; an
 * error thrown by a response closes the client's connection through {@link #abort}.
 */
public interface ResponseSink {
    /**
     * Handles, before this returns, what its client has sent and whether it has disconnected, as
     * far as either has arrived unread.
     */
    void readPendingInput();

    /** Why a request failed. */
    enum FailureCause {
        /** Its deadline passed. */
        DEADLINE_EXCEEDED,
        /** An upstream's error response, or no usable response. */
        UPSTREAM,
        /** Another request is open under the same id. */
        ID_IN_USE
    }

    /** An upstream's good response. */
    void onServed(UpstreamResponse reply);

    /**
     * An upstream's good response begins to be streamed. From here on no other can be given: it
     * ends by {@link #onResponseComplete} or {@link #abort}.
     */
    void onResponseStreaming(StreamedResponse answer);

    /** All of a streamed response has come. */
    void onResponseComplete();

    /**
     * Not executed, so that a retry is harmless, after {@code wait} nanoseconds at the soonest; 0
     * for no guidance.
     */
    void onRejected(long wait);

    /** Failed, with no promise about effects. */
    void onFailed(FailureCause cause);

    /**
     * No response can be given any more, or the rest of a streamed one is missing: the client
     * learns that by the end of its connection.
     */
    void abort();
}
