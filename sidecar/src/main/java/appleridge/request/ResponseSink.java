package appleridge.request;

/** Takes a request's one final answer and words it as its protocol does. */
public interface ResponseSink {
    /**
     * Takes in, before this returns, what its client has sent and whether it has left, as far as
     * either is there and was not read yet.
     */
    void readPendingInput();

    /** Why a request failed. */
    enum FailureCause {
        /** Its time was up. */
        DEADLINE_EXCEEDED,
        /** An upstream's answer, or none that could be used. */
        UPSTREAM,
        /** Another request is open under the same id. */
        ID_IN_USE
    }

    /** An upstream's good answer. */
    void onServed(UpstreamResponse reply);

    /**
     * An upstream's good answer begins to go out. From here on no other answer can be given: it
     * ends by {@link #onResponseComplete} or {@link #abort}.
     */
    void onResponseStreaming(StreamedResponse answer);

    /** All of an answer that flows has come. */
    void onResponseComplete();

    /**
     * Not done, and asking again is harmless; in {@code wait} nanoseconds at the soonest, 0 for no
     * guidance.
     */
    void onRejected(long wait);

    /** Failed, with no promise about effects. */
    void onFailed(FailureCause cause);

    /**
     * No answer can be given any more, or no more of one that flows: the client is shown that by
     * the end of its connection.
     */
    void abort();
}
