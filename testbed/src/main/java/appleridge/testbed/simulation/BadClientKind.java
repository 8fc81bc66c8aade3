package appleridge.testbed.simulation;

/** The ways in which a client misbehaves. */
enum BadClientKind {
    /** Sends bytes that are not HTTP. */
    NOISE,
    /** Sends an invalid request line. */
    BAD_FIRST_LINE,
    /** Sends a header line without a colon. */
    BAD_HEADER,
    /** Sends a header line folded over two lines. */
    FOLDED,
    /** Sends an endless head at full speed. */
    ENDLESS_HEAD,
    /** Sends an endless head slowly, one byte at a time. */
    SLOW_HEAD,
    /** Sends less body than its Content-Length says, then nothing. */
    LONG_LENGTH,
    /** Sends more body than its Content-Length says. */
    SHORT_LENGTH,
    /** Sends a negative Content-Length. */
    NEGATIVE_LENGTH,
    /** Sends a Content-Length that exceeds every integer type. */
    HUGE_LENGTH,
    /** Sends a Content-Length that is not a number. */
    WORD_LENGTH,
    /** Sends two different Content-Length headers. */
    TWO_LENGTHS,
    /** Sends both Content-Length and chunked encoding, with a request smuggled in the body. */
    HIDDEN,
    /** Sends chunk sizes that are not numbers. */
    BAD_CHUNKS,
    /** Sends a body far above the size limit, with its Content-Length. */
    BIG_BODY,
    /** Sends a body far above the size limit in chunks. */
    BIG_CHUNKS,
    /** Names a request class that does not exist. */
    UNKNOWN_CLASS,
    /** Names no request class. */
    NO_CLASS,
    /** Sends a deadline that is not a number. */
    BAD_DEADLINE,
    /** Sends no deadline. */
    NO_DEADLINE,
    /** Sends a negative deadline. */
    NEGATIVE_DEADLINE,
    /** Sends no request id. */
    NO_ID,
    /** Sends the id of another client's open request. */
    SAME_ID,
    /** Names a class that is idempotent by key, without an idempotency key. */
    NO_KEY,
    /** Sends the wrong method for the class. */
    WRONG_METHOD,
    /** Requests a path that does not exist. */
    WRONG_PATH,
    /** Sends part of a request and closes. */
    HALF_CLOSE,
    /** Sends part of a request and resets the connection. */
    HALF_RESET,
    /** Sends part of a request, then nothing. */
    HALF_SILENT,
    /** Pipelines hundreds of requests on one connection. */
    HUNDREDS,
    /** Pipelines long requests of a class that does not exist. */
    LONG_REQUESTS,
    /** Sends a valid head of more lines than are allowed. */
    MANY_HEADERS,
    /** Reconnects with the same invalid request as soon as it is rejected. */
    AGAIN,
    /** Opens many connections at once and sends nothing. */
    CROWD,
    /** Pipelines many requests and never reads. */
    NEVER_READS;

    /** Whether it is drawn only on days with a small budget of buffered bytes. */
    boolean fillsBuffers() {
        return this == LONG_REQUESTS || this == MANY_HEADERS;
    }

    /**
     * Whether its request must not reach any server, because it is too large, invalid or ambiguous.
     */
    boolean mustNotReachServer() {
        return switch (this) {
            case BAD_HEADER,
                    FOLDED,
                    SHORT_LENGTH,
                    NEGATIVE_LENGTH,
                    HUGE_LENGTH,
                    WORD_LENGTH,
                    TWO_LENGTHS,
                    HIDDEN,
                    BAD_CHUNKS,
                    BIG_BODY,
                    BIG_CHUNKS,
                    UNKNOWN_CLASS,
                    NO_CLASS,
                    LONG_REQUESTS,
                    MANY_HEADERS,
                    BAD_DEADLINE,
                    NO_DEADLINE,
                    NEGATIVE_DEADLINE,
                    NO_KEY,
                    WRONG_METHOD ->
                    true;
            default -> false;
        };
    }
}
