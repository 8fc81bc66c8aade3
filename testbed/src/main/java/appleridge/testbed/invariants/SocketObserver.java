package appleridge.testbed.invariants;

/** What the sockets between clients and sidecars show beyond the stand-ins' events. */
public interface SocketObserver {
    /** Returns the position of a request on its connection: 1 for the first, 0 if it is unknown. */
    int positionOnConnection(String id);

    /**
     * Returns the id of the request that was open on the connection when this one arrived; null if
     * there was none.
     */
    String idAhead(String id);

    /** Returns whether the sidecar's process has read the last byte. */
    boolean wasRead(String id);

    /** Returns when the sidecar's process accepted the connection; -1 if it has not. */
    long acceptedAt(String id);

    /** Returns when the sidecar began to write the answer to the client; -1 before that. */
    long answerBegunAt(String id);

    /** Returns when the sidecar last read a part of a server's answer; -1 before that. */
    long lastAnswerReadAt(String id);

    /** Returns when the client's end of the connection was closed or reset; -1 while it is open. */
    long closedAt(String id);
}
