package appleridge.http1;

/** How readily a client connection is closed to make room for another, least readily first. */
enum EvictionPriority {
    /**
     * Not at all: a request is open, or arriving, or still to be expected as the first one, which
     * the client would not send again; or its response is being written.
     */
    NEVER,

    /** It has had a response and is idle. */
    KEPT_IDLE,

    /** It was opened some time ago and has sent nothing. */
    SILENT,

    /** It lingers behind its last response, or its client does not read. */
    ENDING
}
