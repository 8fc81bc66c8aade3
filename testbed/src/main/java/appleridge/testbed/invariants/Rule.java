package appleridge.testbed.invariants;

/** The invariants of a day; each constant names a violation. */
public enum Rule {
    /** The connection of an accepted request ended without a complete answer. */
    LOST,
    /** An answer came later than the deadline allows, or not at all. */
    LATE,
    /** A request was answered twice. */
    TWO_ANSWERS,
    /** A request was served with a body that no server made for it. */
    WRONG_ANSWER,
    /** A server received something other than the client wrote, or an invalid deadline. */
    WRONG_REQUEST,
    /** An effect could happen twice, or after the client was told that it did not happen. */
    DUPLICATE,
    /** An answer carries a longer Retry-After than is allowed, or is not one that may carry it. */
    RETRY_AFTER,
    /** A process reported ready without a usable server, or after SIGTERM. */
    READY,
    /** After SIGTERM a process refused connections too soon, or did not exit by itself. */
    ENDING,
    /** A sidecar had more connections to discovery, or called it more often, than is allowed. */
    DISCOVERY,
    /** Something was sent for a request that was over. */
    SENT_AFTER,
    /** Something was sent to a server after the grace period of its drain. */
    DRAIN,
    /**
     * The module's list differs from what the coordination service delivered: a server was removed
     * without reason, or a change did not take effect in time.
     */
    LIST,
    /** A cold server collapsed under work sent by sidecars that knew that it was cold. */
    COLD,
    /** The module had given a request up, and its answer came later than at once. */
    GIVEN_UP_LATE,
    /** A bad client got neither an error nor a close in time, or was served. */
    BAD_CLIENT,
    /** Long after the last fault, servable requests were not served. */
    NOT_RECOVERED,
    /** A sidecar's resource counts disagreed with its sockets when nothing was open. */
    BOOKS,
    /** A sidecar buffered more than its limits allow, or did not count what it buffered. */
    BUFFERS,
    /** Resources were still held at the end of the day. */
    LEAK,
    /** The process exited by itself, or an exception escaped. */
    CRASH
}
