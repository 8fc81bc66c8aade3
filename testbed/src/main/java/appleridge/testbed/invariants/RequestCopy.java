package appleridge.testbed.invariants;

/** One copy of a request that a server has begun to read. */
final class RequestCopy {
    final String server;
    final int incarnation;
    final long firstByteAt;
    long lastByteAt;

    /** Its last byte was read. */
    boolean complete;

    /** The server has said that it never ran it. */
    boolean notRun;

    RequestCopy(String server, int incarnation, long firstByteAt) {
        this.server = server;
        this.incarnation = incarnation;
        this.firstByteAt = firstByteAt;
    }

    /** From outside it counts as one that may have had its effect. */
    boolean mayHaveRun() {
        return complete && !notRun;
    }
}
