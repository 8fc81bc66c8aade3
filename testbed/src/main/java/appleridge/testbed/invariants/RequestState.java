package appleridge.testbed.invariants;

/**
 * State of a request as seen from outside; the RESEND states are those of a second or later
 * attempt.
 */
public enum RequestState {
    /** Some of its bytes are written, but not the last one. */
    ARRIVING,
    /** The sidecar has the request and has sent nothing upstream. */
    HELD,
    /** An attempt waits for a connection. */
    CONNECTING,
    /** Some bytes of the attempt are written, but not the last one. */
    WRITING,
    /** The attempt is written completely, and no byte of a response has been written. */
    WRITTEN,
    /**
     * Some of the server's response has been written, and the sidecar has written none of its
     * answer.
     */
    ANSWERING,
    /** The sidecar has begun to write its answer, and the client has not read the end of it. */
    ANSWERED,
    /** An attempt has failed, and no other has been started. */
    RESEND_HELD,
    /** As CONNECTING, for a later attempt. */
    RESEND_CONNECTING,
    /** As WRITING, for a later attempt. */
    RESEND_WRITING,
    /** As WRITTEN, for a later attempt. */
    RESEND_WRITTEN,
    /** As ANSWERING, for a later attempt. */
    RESEND_ANSWERING,
    /** No request: a client's kept-alive connection between two of them. */
    IDLE;

    /** Returns whether this is a state of a second or later attempt. */
    public boolean isResend() {
        return this.ordinal() >= RESEND_HELD.ordinal()
                && this.ordinal() <= RESEND_ANSWERING.ordinal();
    }
}
