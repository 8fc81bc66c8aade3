package appleridge.lease;

/**
 * What a lease wants done; nothing of it may call the lease back before it has returned. A question
 * is answered at most once, by {@code read}, {@code written}, {@code conflicted} or {@code
 * unknown}.
 */
public interface LeaseActions {
    /** Asks for the record as of now: what a member that lags knows is no answer. */
    void read(long question);

    /** Writes the record if its version is still the one expected; -1 creates it. */
    void write(long question, long expectedVersion, VersionedLease next);

    /** The one time at which to call {@code time}, in place of the one before. */
    void wakeAt(long at);

    /** A first grant, and each extension of it. */
    void granted(Grant grant);

    /** Nothing more may begin, and what is under way is called off. */
    void stopNow(TransitionCause why);

    /**
     * Joins the line of those who seek, or leaves it: a holder leaves, so that the next one watches
     * it.
     */
    void line(boolean in);
}
