package appleridge.request;

/**
 * Receives the one final response of a request and writes it in the client's protocol. If a method
 * throws while it gives a response, the client's connection is closed through {@link #abort}. Event
 * loop only.
 */
public interface ResponseSink {
    /**
     * Handles all input of the client that has arrived unread, including its disconnect, before it
     * returns.
     */
    void readPendingInput();

    /**
     * What is known of the client now; reads its pending input if that is needed to know it. A
     * disconnect that is found this way is handled before this returns.
     */
    ClientPresence clientPresence();

    /**
     * Runs a task later, once more may be known than {@link ClientPresence#UNKNOWN}. It may never
     * run.
     */
    void whenMoreIsKnownOfClient(Runnable task);

    /**
     * For how long the client has not been known to be there, in nanoseconds; {@link
     * Long#MAX_VALUE} if it never was.
     */
    long clientSeenAgoNanos();

    /**
     * How far the client has sent a request whose body is streamed. Called only for such requests.
     */
    default UploadProgress uploadProgress() {
        throw new UnsupportedOperationException("this client's requests are not streamed");
    }

    /** Why a request failed. */
    enum FailureCause {
        /** The deadline of the request passed. */
        DEADLINE_EXCEEDED,
        /** The upstream host gave an error response or no usable one. */
        UPSTREAM,
        /** Another request with the same id is open or may have been executed. */
        ID_IN_USE
    }

    /** Gives the successful response of an upstream host. */
    void onServed(UpstreamResponse response);

    /**
     * Reserves what a streamed response needs. Returns false if that is not possible now, so that
     * the response cannot be given.
     */
    default boolean reserveStream() {
        return true;
    }

    /**
     * Starts to stream the successful response of an upstream host. From now on no other response
     * can be given; this one ends by {@link #onResponseComplete} or {@link #abort}.
     */
    void onResponseStreaming(StreamedResponse response);

    /** Completes a streamed response: its last byte has arrived from the host. */
    void onResponseComplete();

    /**
     * Rejects the request. It was not executed, so a retry is harmless.
     *
     * @param retryAfterNanos the earliest time, from now, at which to retry; 0 for no guidance
     */
    void onRejected(long retryAfterNanos);

    /** Fails the request, which may have been executed. */
    void onFailed(FailureCause cause);

    /**
     * Closes the client's connection, because no response can be given or the rest of a streamed
     * one is missing.
     */
    void abort();
}
