package appleridge.testbed.invariants;

/** What a day may not break. */
public enum Rule {
    /** A request that was taken had its connection ended with no whole answer. */
    LOST,
    /** An answer came later than the deadline allows, or not at all. */
    LATE,
    /** A request was answered twice. */
    TWO_ANSWERS,
    /** A request was served with what no server made for it. */
    WRONG_ANSWER,
    /** A server was sent something else than what the client wrote, or a senseless deadline. */
    WRONG_REQUEST,
    /** An effect could happen twice, or after it was said that it did not happen. */
    DUPLICATE,
    /**
     * An answer invites to come again later than is allowed, or where that is not for it to say.
     */
    RETRY_AFTER,
    /** A process said that it was ready, and had no server to use or was to end. */
    READY,
    /** After SIGTERM a process turned connections away too soon, or did not end by itself. */
    ENDING,
    /** A sidecar had more connections to discovery, or asked it more often, than it may. */
    DISCOVERY,
    /** Something was sent for a request that was over. */
    SENT_AFTER,
    /** Something was sent to a server after its drain's grace. */
    DRAIN,
    /**
     * The list is not what was told: emptied by who told nothing, or not as it was told long since.
     */
    LIST,
    /** A cold server fell over under what was sent by those who knew that it was cold. */
    COLD,
    /** The module had given a request up, and its answer came later. */
    GIVEN_UP_LATE,
    /** A bad client got neither an error nor a close in time, or was served. */
    BAD_CLIENT,
    /** Long after the last fault, requests that could be served were not. */
    NOT_RECOVERED,
    /** A sidecar's books disagreed with its sockets when nothing was open. */
    BOOKS,
    /** Something was left in the books when all was over. */
    LEAK,
    /** The process ended by itself, or an exception escaped. */
    CRASH
}
