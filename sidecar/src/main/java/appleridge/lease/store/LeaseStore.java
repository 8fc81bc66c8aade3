package appleridge.lease.store;

import appleridge.lease.VersionedLease;

/**
 * Keeps one lease's record, and the queue of those who wait for it. Writes are conditional on the
 * record's version, and a read returns the record as of a time after it was asked for.
 *
 * <p>Methods return at once. Calls come from one thread at a time.
 */
public interface LeaseStore extends AutoCloseable {
    /**
     * What happens in the store. Delivered on the caller's executor, never from within a call. Each
     * request has at most one answer.
     */
    interface Events {
        /** Requests can be sent. */
        void onConnected();

        /** Requests can't be sent; open ones are answered or not. */
        void onDisconnected();

        /**
         * Answers a read.
         *
         * @param recordOrNull null if there is no record
         */
        void onRead(long requestId, VersionedLease recordOrNull);

        /** Answers a write that was done and made this version. */
        void onWritten(long requestId, long version);

        /** Answers a write that found another version; nothing was written by this answer. */
        void onConflict(long requestId);

        /** Answers a request of which it is unknown whether the store processed it. */
        void onOutcomeUnknown(long requestId);

        /** The record that was read last may have changed. */
        void onRecordChanged();

        /** Nobody is ahead in the queue. */
        void onHeadOfQueue();

        /**
         * A write has hit a record that was deleted and created anew: no grant is to be believed
         * any more.
         *
         * @param reason one line for a log
         */
        void onRecordRecreated(String reason);
    }

    /** Starts to connect. */
    void start();

    /** Asks for the record. */
    void read(long requestId);

    /**
     * Writes the record if its version is the expected one.
     *
     * @param expectedVersion -1 if there must be none
     */
    void write(long requestId, long expectedVersion, VersionedLease next);

    /** Joins the queue, or leaves it. */
    void setQueued(boolean queued);

    /** Ends the connection and leaves the queue. */
    @Override
    void close();
}
