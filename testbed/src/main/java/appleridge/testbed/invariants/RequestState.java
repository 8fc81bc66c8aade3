package appleridge.testbed.invariants;

/**
 * Where a request is, seen from outside; the RESEND states are those of a second or later attempt.
 */
public enum RequestState {
    /** Some of its bytes are written, the last one isn't. */
    ARRIVING,
    /** The sidecar has it and has sent nothing on. */
    HELD,
    /** An attempt waits for a connection. */
    CONNECTING,
    /** Some bytes of the attempt are written, the last one isn't. */
    WRITING,
    /** The attempt is written whole, and nothing of an answer has come. */
    WRITTEN,
    /**
     * Some of the server's answer has been written, and the sidecar has written none of its own.
     */
    ANSWERING,
    /** The sidecar has begun to write its answer, and the client hasn't read the end of it. */
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
    /** No request: a client's kept connection between two of them. */
    IDLE;

    /** Whether this is a state of a second or later attempt. */
    public boolean isResend() {
        return this.ordinal() >= RESEND_HELD.ordinal()
                && this.ordinal() <= RESEND_ANSWERING.ordinal();
    }
}
