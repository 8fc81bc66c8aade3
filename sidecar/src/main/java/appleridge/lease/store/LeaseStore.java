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
        void connected();

        void disconnected();

        /** {@code orNull}: null if there is no record. */
        void read(long question, VersionedLease orNull);

        void written(long question, long version);

        /** Another version is there; nothing was written. */
        void conflicted(long question);

        void unknown(long question);

        /** The record that was read last may have changed. */
        void changed();

        /** Nobody is ahead in the line. */
        void inFront();

        /**
         * What was written has come upon a record that began anew: nothing may be believed any
         * more.
         */
        void broken(String why);
    }

    /** Begins to connect. */
    void start();

    void read(long question);

    /** {@code expectedVersion}: -1 for no record there. */
    void write(long question, long expectedVersion, VersionedLease next);

    /** Joins the line, or leaves it. */
    void line(boolean in);

    @Override
    void close();
}
