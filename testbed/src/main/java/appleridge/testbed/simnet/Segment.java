package appleridge.testbed.simnet;

/**
 * A segment in flight: the bytes up to position `end` of the stream, or a control message.
 *
 * @param due when it arrives
 */
record Segment(Kind kind, long end, long due) {
    enum Kind {
        /** The last message of the handshake: the connection enters the backlog. */
        HANDSHAKE,
        BYTES,
        END,
        RESET,
        /** A fault in the network breaks the connection here and resets both ends. */
        BREAK
    }
}
