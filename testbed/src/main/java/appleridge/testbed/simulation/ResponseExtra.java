package appleridge.testbed.simulation;

/**
 * What a valid response can be combined with. There is no second copy that arrives later: where it
 * crosses the next request on the connection, no reader could tell it from the response to that.
 */
enum ResponseExtra {
    /** An interim response before it. */
    INTERIM,
    /** Several interim responses before it, with pauses between them. */
    INTERIMS,
    /** A second copy directly after it. */
    COPY,
    /** Noise directly after it. */
    NOISE,
    /** Noise after a pause. */
    LATE_NOISE,
    /** An unreadable load report. */
    BAD_REPORT,
    /** The connection is closed directly after it, without a Connection header that says so. */
    CLOSES,
    /** The response is sent before the whole request has arrived. */
    EARLY
}
