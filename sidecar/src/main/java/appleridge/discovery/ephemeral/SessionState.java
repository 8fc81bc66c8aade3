package appleridge.discovery.ephemeral;

/** What is known of the session with the coordination service. */
public enum SessionState {
    /** A server that takes part answers. */
    CONNECTED,
    /** A server answers that has lost the others: what it says may be old. */
    READ_ONLY,
    /** No server answers; the session may live. */
    SUSPENDED,
    /** The ensemble has ended the session. */
    EXPIRED
}
