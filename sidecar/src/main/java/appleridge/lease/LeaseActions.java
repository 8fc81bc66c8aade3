package appleridge.lease;

/**
 * The requests that a {@link Lease} makes. Methods are called on the lease's thread while it
 * handles an event, and must not call the lease before they return. Each read or write has at most
 * one result: {@link Lease#onRead}, {@link Lease#onWritten}, {@link Lease#onConflict} or {@link
 * Lease#onOutcomeUnknown}.
 */
public interface LeaseActions {
    /** Reads the record as of now or later: the older state of a lagging replica is no result. */
    void readRecord(long requestId);

    /**
     * Writes the record if its version is still the expected one.
     *
     * @param expectedVersion -1 creates the record
     */
    void writeRecord(long requestId, long expectedVersion, VersionedLease next);

    /**
     * Sets the time at which to call {@link Lease#onTimer}, replacing the previous one.
     *
     * @param atNanos {@link Long#MAX_VALUE} for never
     */
    void setTimer(long atNanos);

    /** The lease was granted, or its grant was extended. */
    void onGranted(Grant grant);

    /** No operation may start any more, and the running ones have to be stopped. */
    void stopOperations(TransitionCause why);

    /**
     * Joins or leaves the queue of the processes that want the lease. A holder leaves it, so that
     * the next process is at its head and watches the record.
     */
    void setQueued(boolean queued);
}
