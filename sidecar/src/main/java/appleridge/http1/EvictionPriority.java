package appleridge.http1;

/** The order in which client connections are closed to make room, last one first. */
enum EvictionPriority {
    /**
     * Never evicted: a request is open or arriving, a response is being written, or the connection
     * is so new that its first request is still expected, which the client might not send again.
     */
    NEVER,

    /** Idle after a response. */
    KEPT_IDLE,

    /** Open for some time without having sent any request. */
    SILENT,

    /** Lingering after its last response, or held by a client that does not read. */
    ENDING
}
