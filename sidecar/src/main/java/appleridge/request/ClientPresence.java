package appleridge.request;

/** What is known of whether the client of a request is still connected. */
public enum ClientPresence {
    /** It was there a moment ago: an attempt may begin. */
    PRESENT,
    /** Its end may lie behind input that has not been read. */
    UNKNOWN,
    /** It has disconnected. */
    DISCONNECTED
}
