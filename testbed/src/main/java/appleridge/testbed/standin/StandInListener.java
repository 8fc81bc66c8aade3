package appleridge.testbed.standin;

/**
 * Receives the events of the stand-ins as they happen, on their event loop. Times are those of
 * {@link RealTime#nanos()}.
 */
public interface StandInListener {
    /**
     * One attempt of a client.
     *
     * @param id unique per attempt
     * @param wish the same for all attempts of one logical request
     * @param key the idempotency key, the same for all attempts of a logical request; null for a
     *     class without keys
     * @param number the number of the attempt, from 0
     * @param at when the client begins to send it
     * @param patience the deadline that the client announces, from the last byte
     */
    record Ask(
            String id,
            String wish,
            RequestKind kind,
            String wholesaler,
            String key,
            int number,
            long at,
            long patience) {}

    /** How an attempt without a complete answer ends. */
    enum Ending {
        /**
         * Not sent: no connection was established, or it broke before the last byte was written.
         */
        NOT_TAKEN,
        /** The first request of a connection that was closed without a byte of an answer. */
        CLOSED_FIRST,
        /** The connection ended in the middle of an answer. */
        CUT,
        /** No answer came until long after the client's deadline. */
        SILENT,
        /** The client disconnected before its deadline. */
        GAVE_UP
    }

    /**
     * A complete request received by a server.
     *
     * @param server the process: a later process at the same address has another name
     * @param work the work of the request, in core nanoseconds
     * @param turnedAway whether the server rejected it with the promise never to run it
     */
    record Arrival(
            String server,
            String zone,
            String id,
            RequestKind kind,
            String key,
            long firstByte,
            long lastByte,
            double work,
            boolean turnedAway) {}

    /** A client begins to send an attempt. */
    void asks(Ask ask);

    /** The last byte of an attempt is written to an established connection. */
    void taken(String id, long at);

    /** A client has received a complete answer. */
    void answered(String id, int status, String body, long at);

    /** A kept connection ended without a byte of an answer; the attempt is sent on a new one. */
    void sentAgain(String id, long at);

    /** An attempt ended without a complete answer. */
    void ended(String id, Ending how, long at);

    /** A client received a response on a connection without an open request. */
    void unasked(String connection, long at);

    /** The outcome of a malformed request; {@code served} must be false. */
    void badClient(String what, String how, boolean served);

    /** A server process started; a cold one warms up from then on. */
    void started(String server, boolean cold, long at);

    /** A server has received a complete request. */
    void arrived(Arrival arrival);

    /** A server has produced the answer to a request. */
    void made(String server, String id, String body);

    /** A cold server was sent more work than it can take and crashed. */
    void fellOver(String server, long at);

    /** Discovery has a new state of a server. */
    void changed(String server, LoopbackRegistry.State state, long at);

    /** Discovery has written a response that contains this state. */
    void told(String server, LoopbackRegistry.State state, long at);
}
