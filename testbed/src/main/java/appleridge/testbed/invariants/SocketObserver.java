package appleridge.testbed.invariants;

/** What the sockets between clients and sidecars show, and no one tells. */
public interface SocketObserver {
    /** Which request on its connection it is: 1 for the first, 0 if that isn't known. */
    int place(String id);

    /**
     * The id of the request that was open on its connection when it was asked; null if there was
     * none.
     */
    String ahead(String id);

    /** Whether the sidecar's process has read its last byte. */
    boolean wasRead(String id);

    /** When the sidecar's process accepted its connection; -1 if it has not. */
    long acceptedAt(String id);

    /** When its client's end of the connection was closed or reset; -1 while it is not. */
    long closedAt(String id);
}
