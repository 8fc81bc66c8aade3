package appleridge.testbed.simulation;

/** What bad clients do. */
enum BadClientKind {
    /** Sends what can't be read. */
    NOISE,
    /** A first line that can't be read. */
    BAD_FIRST_LINE,
    /** A header line without a colon. */
    BAD_HEADER,
    /** A header line folded into the one before. */
    FOLDED,
    /** A head without end, at full speed. */
    ENDLESS_HEAD,
    /** A head without end, a byte now and then. */
    SLOW_HEAD,
    /** Less body than the length says; then silence. */
    LONG_LENGTH,
    /** More body than the length says. */
    SHORT_LENGTH,
    /** A negative length. */
    NEGATIVE_LENGTH,
    /** A length that no number holds. */
    HUGE_LENGTH,
    /** A length that is no number. */
    WORD_LENGTH,
    /** Two lengths that differ. */
    TWO_LENGTHS,
    /** Both a length and chunks, and another request hidden in the body. */
    HIDDEN,
    /** Chunk sizes that are no numbers. */
    BAD_CHUNKS,
    /** A body far beyond what is allowed, with its length told. */
    BIG_BODY,
    /** The same in chunks. */
    BIG_CHUNKS,
    /** A class that doesn't exist. */
    UNKNOWN_CLASS,
    /** No class. */
    NO_CLASS,
    /** A deadline that is no number. */
    BAD_DEADLINE,
    /** No deadline. */
    NO_DEADLINE,
    /** A deadline below nothing. */
    NEGATIVE_DEADLINE,
    /** No id. */
    NO_ID,
    /** The id of another client's open request. */
    SAME_ID,
    /** A keyed class without a key. */
    NO_KEY,
    /** The wrong method for the class. */
    WRONG_METHOD,
    /** A path that doesn't exist. */
    WRONG_PATH,
    /** Half a request and a close. */
    HALF_CLOSE,
    /** Half a request and a reset. */
    HALF_RESET,
    /** Half a request and silence. */
    HALF_SILENT,
    /** Hundreds of requests at once on one connection. */
    HUNDREDS,
    /** The same again as soon as it is turned away. */
    AGAIN,
    /** Connects by hundreds and says nothing. */
    CROWD,
    /** Pipelines much and never reads. */
    NEVER_READS;

    /**
     * Whether its request may reach no server: it is too large, or can be read in more than one
     * way.
     */
    boolean isSenseless() {
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
