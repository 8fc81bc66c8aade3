package appleridge.lease;

/**
 * The requests that one lease sends to the store. At most one is open at a time, so that no
 * response can describe an older record than an earlier response. Confined to the lease's thread.
 */
final class StoreRequests {
    /**
     * One request.
     *
     * @param requestId counts up from 1
     * @param sentAtNanos the lease's time just before it was sent
     * @param next the record to be written; null for a read
     */
    record StoreRequest(long requestId, long sentAtNanos, VersionedLease next) {}

    private final LeaseParameters parameters;
    private final String holder;
    private final String incarnation;
    private long lastRequestId;

    /** Null while no response is awaited. */
    private StoreRequest open;

    /** The newest write that was sent, with or without a response; null before the first. */
    private StoreRequest lastWrite;

    /** Creates an empty history; for the parameters see {@link Lease#Lease}. */
    StoreRequests(LeaseParameters parameters, String holder, String incarnation) {
        this.parameters = parameters;
        this.holder = holder;
        this.incarnation = incarnation;
    }

    /** The number of the newest request; 0 before the first. */
    long lastRequestId() {
        return lastRequestId;
    }

    /** The request that has no response yet; null for none. */
    StoreRequest open() {
        return open;
    }

    /** The newest write; null for none. */
    StoreRequest lastWrite() {
        return lastWrite;
    }

    /** Opens a read. */
    StoreRequest openRead(long nowNanos) {
        open = new StoreRequest(++lastRequestId, nowNanos, null);
        return open;
    }

    /** Opens a write of a record with this token and a nonce that no other write has. */
    StoreRequest openWrite(long nowNanos, long token, boolean released) {
        lastRequestId++;
        String nonce = incarnation + "/" + lastRequestId;
        VersionedLease next =
                new VersionedLease(0, token, holder, nonce, parameters.termNanos(), released);
        open = new StoreRequest(lastRequestId, nowNanos, next);
        lastWrite = open;
        return open;
    }

    /** The time at which the open request is given up; there must be one. */
    long responseDueNanos() {
        return open.sentAtNanos + parameters.renewalIntervalNanos();
    }

    /**
     * Closes the open request if it has this number. A response to any other request is stale: it
     * may describe the record from before a response that was already used.
     *
     * @return whether the response may be used
     */
    boolean close(long requestId) {
        boolean isOpen = open != null && open.requestId == requestId;
        open = isOpen ? null : open;
        return isOpen;
    }

    /** Stops waiting for a response; whether the request reached the store is unknown. */
    void abandon() {
        open = null;
    }

    /** Whether this record was written by a request with a higher number than that one. */
    boolean wroteAfter(long requestId, VersionedLease record) {
        return lastWrite != null
                && lastWrite.requestId > requestId
                && record.nonce().equals(lastWrite.next.nonce());
    }
}
