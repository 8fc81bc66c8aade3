package appleridge.testbed.standin;

/**
 * Told by stand-ins what they did and saw, as it happens, on their event loop. Times are those of
 * {@link RealTime#nanos()}.
 */
public interface StandInListener {
    /**
     * One try of a client.
     *
     * @param id new with every try
     * @param wish the same for all tries of what the client wants done once
     * @param key the idempotency key, the same for all tries of a wish; null for a class without
     * @param number of this try, from 0
     * @param patience how long the client says that it will wait, from the last byte
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

    /** How a try ends that has no whole answer. */
    enum Ending {
        /** It never left: no connection came up, or it broke before the last byte was written. */
        NOT_TAKEN,
        /** The first request of a connection that ended with no byte of an answer. */
        CLOSED_FIRST,
        /** The connection ended within an answer. */
        CUT,
        /** No answer came, long after the client's time. */
        SILENT,
        /** The client left of its own. */
        GAVE_UP
    }

    /**
     * A whole request at a server.
     *
     * @param server the process, not the machine: another one at the same address has another name
     * @param work what it is to this server, in nanoseconds of a core
     * @param turnedAway the server answered that it has not run and never will
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

    /** A client begins to send. */
    void asks(Ask ask);

    /** The last byte is written to a connection that was accepted. */
    void taken(String id, long at);

    /** A whole answer has come. */
    void answered(String id, int status, String body, long at);

    /** A kept connection ended with no byte of an answer; it is sent once more, on a new one. */
    void sentAgain(String id, long at);

    /** A try has ended with no whole answer. */
    void ended(String id, Ending how, long at);

    /** Bytes came on a client's connection that waited for none. */
    void unasked(String connection, long at);

    /**
     * What became of a client that does not speak as it should; {@code served} is what must not be.
     */
    void badClient(String what, String how, boolean served);

    /** A server process begins; a cold one warms up from then on. */
    void started(String server, boolean cold, long at);

    /** A request has come whole to a server. */
    void arrived(Arrival arrival);

    /** A server has made the answer to a request. */
    void made(String server, String id, String body);

    /** A cold server was sent more than it can stand. */
    void fellOver(String server, long at);

    /** Discovery knows a new state, and has it to tell. */
    void changed(String server, LoopbackRegistry.State state, long at);

    /** Discovery has written an answer that says this state. */
    void told(String server, LoopbackRegistry.State state, long at);
}
