package appleridge.lease.store;

import appleridge.lease.VersionedLease;

/**
 * Where one lease's record is kept, and the line of those who wait for it. A record's writes are
 * conditional on its version, and a read tells it as of after it was asked. Calls come from one
 * thread.
 */
public interface LeaseStore extends AutoCloseable {
    /**
     * Told on the executor of who asks, never from within a call. Each question has at most one
     * answer; {@code unknown} where it can't be known whether it was done.
     */
    interface Events {
        void onConnected();

        void onDisconnected();

        /** {@code orNull}: null if there is no record. */
        void onRead(long question, VersionedLease orNull);

        void onWritten(long question, long version);

        /** Another version is there; nothing was written. */
        void onConflict(long question);

        void onOutcomeUnknown(long question);

        /** The record that was read last may have changed. */
        void onRecordChanged();

        /** Nobody is ahead in the line. */
        void onHeadOfQueue();

        /**
         * What was written has come upon a record that began anew: nothing may be believed any
         * more.
         */
        void onRecordRecreated(String why);
    }

    /** Begins to connect. */
    void start();

    void read(long question);

    /** {@code expectedVersion}: -1 for no record there. */
    void write(long question, long expectedVersion, VersionedLease next);

    /** Joins the line, or leaves it. */
    void setQueued(boolean in);

    @Override
    void close();
}
