package appleridge.lease.store;

import appleridge.lease.VersionedLease;

/**
 * The store of one lease: its record, and the queue of the processes that wait for it. Writes are
 * conditional on the record's version, and a read returns the record as of some time after the
 * request.
 *
 * <p>Methods don't block. Callers must not call them from several threads at once.
 */
public interface LeaseStore extends AutoCloseable {
    /**
     * Events of the store. They are delivered on the caller's executor, never from within a call.
     * Each request gets at most one result.
     */
    interface Events {
        /** Requests can be sent. */
        void onConnected();

        /** Requests can't be sent; open ones may or may not get a result. */
        void onDisconnected();

        /**
         * The result of a read.
         *
         * @param recordOrNull null if there is no record
         */
        void onRead(long requestId, VersionedLease recordOrNull);

        /** The result of a write that succeeded and produced this version. */
        void onWritten(long requestId, long version);

        /**
         * The result of a write that found another version. If the request was sent twice, its
         * first copy may have produced that version.
         */
        void onConflict(long requestId);

        /** The result of a request of which it is unknown whether the store processed it. */
        void onOutcomeUnknown(long requestId);

        /** The record may have changed since the last read. */
        void onRecordChanged();

        /** This process is first in the queue. */
        void onHeadOfQueue();

        /**
         * A write has changed a record that was deleted and created again: no grant is valid any
         * more.
         *
         * @param reason one line for the log
         */
        void onRecordRecreated(String reason);
    }

    /** Starts connecting. */
    void start();

    /** Requests the record. */
    void read(long requestId);

    /**
     * Writes the record if its version is the expected one.
     *
     * @param expectedVersion -1 if the record must not exist yet
     */
    void write(long requestId, long expectedVersion, VersionedLease next);

    /** Joins or leaves the queue. */
    void setQueued(boolean queued);

    /** Closes the connection and leaves the queue. */
    @Override
    void close();
}
