package appleridge.discovery.ephemeral;

/** State of the session with the coordination service. */
public enum SessionState {
    /** Connected to a server that is part of the quorum. */
    CONNECTED,
    /** Connected to a server that has lost its quorum; its state may be old. */
    READ_ONLY,
    /** Not connected; the session may still exist. */
    SUSPENDED,
    /** The session has expired. */
    EXPIRED
}
