package appleridge.testbed.simulation;

/** How an answer can be spoilt. */
enum ResponseCorruption {
    /** Bytes that are no HTTP. */
    NOISE,
    /** A first line that can't be read. */
    BAD_FIRST_LINE,
    /** A header line without a colon. */
    BAD_HEADER,
    /** A header line folded into the one before. */
    FOLDED,
    /** Control bytes within a header. */
    CONTROL_BYTES,
    /** A head that goes on without end. */
    ENDLESS_HEAD,
    /** A length above what comes; then silence. */
    LONG_LENGTH,
    /** A negative length. */
    NEGATIVE_LENGTH,
    /** A length that no number holds. */
    HUGE_LENGTH,
    /** Two lengths that differ. */
    TWO_LENGTHS,
    /** Both a length and chunks. */
    LENGTH_AND_CHUNKS,
    /** Chunk sizes that are no numbers. */
    BAD_CHUNKS,
    /** Neither a length nor chunks, and the connection stays open. */
    NO_LENGTH,
    /** Said to have 3 GB, and keeps coming. */
    THREE_GIGABYTES,
    /** Cut in the middle of the head, by an end. */
    CUT_HEAD,
    /** Cut in the middle of the body, by an end. */
    CUT_BODY,
    /** Cut in the middle of the body, by a reset. */
    CUT_RESET,
    /** Begins, and then nothing more. */
    STOPS,
    /** A pause in the middle, longer than a sidecar should wait. */
    PAUSES,
    /** Nothing but interim answers. */
    ONLY_INTERIM,
    /** An answer that switches protocols. */
    SWITCHES,
    /** A status that is no number. */
    STATUS_WITHOUT_NUMBER
}
