package appleridge.testbed.invariants;

/** A copy of a request that a server has begun to read. */
final class RequestCopy {
    final String server;
    final int incarnation;
    final long firstByteAt;
    long lastByteAt;

    /** Whether the server has read the last byte. */
    boolean complete;

    /** Whether the server has said that it did not run the request. */
    boolean notRun;

    RequestCopy(String server, int incarnation, long firstByteAt) {
        this.server = server;
        this.incarnation = incarnation;
        this.firstByteAt = firstByteAt;
    }

    /** Returns whether the copy may have had its effect, as seen from outside. */
    boolean mayHaveRun() {
        return complete && !notRun;
    }
}
