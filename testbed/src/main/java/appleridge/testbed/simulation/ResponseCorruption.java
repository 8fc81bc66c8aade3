package appleridge.testbed.simulation;

/** How a response can be corrupted. */
enum ResponseCorruption {
    /** Bytes that are not HTTP. */
    NOISE,
    /** An unparsable status line. */
    BAD_FIRST_LINE,
    /** A header line without a colon. */
    BAD_HEADER,
    /** A folded header line. */
    FOLDED,
    /** Control characters in a header. */
    CONTROL_BYTES,
    /** A response head without end. */
    ENDLESS_HEAD,
    /** A Content-Length above the length of the body, and then nothing more. */
    LONG_LENGTH,
    /** A negative Content-Length. */
    NEGATIVE_LENGTH,
    /** A Content-Length beyond the range of a long. */
    HUGE_LENGTH,
    /** Two different Content-Length headers. */
    TWO_LENGTHS,
    /** Both Content-Length and chunked encoding. */
    LENGTH_AND_CHUNKS,
    /** Chunk sizes that are not numbers. */
    BAD_CHUNKS,
    /** Neither Content-Length nor chunked encoding, and the connection stays open. */
    NO_LENGTH,
    /** A Content-Length of 3 GB, with bytes that keep arriving. */
    THREE_GIGABYTES,
    /** The connection is closed in the middle of the head. */
    CUT_HEAD,
    /** The connection is closed in the middle of the body. */
    CUT_BODY,
    /** The connection is reset in the middle of the body. */
    CUT_RESET,
    /** Stops after its first bytes, with the connection open. */
    STOPS,
    /** A pause in the middle, longer than a sidecar should wait. */
    PAUSES,
    /** Only interim responses, no final one. */
    ONLY_INTERIM,
    /** A 101 response, which switches protocols. */
    SWITCHES,
    /** A status code that is not a number. */
    STATUS_WITHOUT_NUMBER
}
