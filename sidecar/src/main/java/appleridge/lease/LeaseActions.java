package appleridge.lease;

/**
 * What a {@link Lease} asks for. Called on the lease's thread from within its events; no method may
 * call the lease back before it has returned. Each request gets at most one answer: {@link
 * Lease#onRead}, {@link Lease#onWritten}, {@link Lease#onConflict} or {@link
 * Lease#onOutcomeUnknown}.
 */
public interface LeaseActions {
    /** Reads the record as of now or later: a lagging replica's older state is no answer. */
    void readRecord(long requestId);

    /**
     * Writes the record if its version is still the expected one.
     *
     * @param expectedVersion -1 creates the record
     */
    void writeRecord(long requestId, long expectedVersion, VersionedLease next);

    /**
     * Sets the one time at which to call {@link Lease#onTimer}, in place of the one before.
     *
     * @param atNanos {@link Long#MAX_VALUE} for never
     */
    void setTimer(long atNanos);

    /** A first grant, or its extension. */
    void onGranted(Grant grant);

    /** Nothing more may start, and what runs is to be stopped. */
    void stopOperations(TransitionCause why);

    /**
     * Joins the queue of those who want the lease, or leaves it. A holder leaves, so that the next
     * one is at its head and watches the record.
     */
    void setQueued(boolean queued);
}
