package appleridge.testbed.simnet;

/** What travels: bytes up to a position of the stream, or a word about the connection. */
record Segment(Kind kind, long end, long due) {
    enum Kind {
        /** The last part of the handshake: the connection enters the backlog. */
        HANDSHAKE,
        BYTES,
        END,
        RESET,
        /** Something on the way breaks the connection here, and tells both ends. */
        BREAK
    }
}
