package appleridge.lease;

/**
 * The state of one process's part in one lease.
 *
 * <pre>
 * from              to                on
 * RELEASED, LOST    SEEKING           acquire
 * SEEKING           HELD              own write is confirmed, its grant not expired
 * HELD              UNCONFIRMED       disconnect; conflict; unknown or missing result
 * UNCONFIRMED       HELD              the store shows the process's own record
 * HELD, UNCONFIRMED LOST              the grant expires; the record names another, or is released
 * LOST              SEEKING           at once, where the store shows no record or an older one
 * SEEKING           STORE_DISTRUSTED  the store shows no record or an older one
 * STORE_DISTRUSTED  SEEKING           the store shows a record that is not older
 * any               RELEASED          release, at once or after the grace period; idle
 * </pre>
 *
 * <p>HELD to HELD is a renewal; STORE_DISTRUSTED to itself is another read that shows the same.
 */
public enum LeaseState {
    /** The lease is wanted but not granted: no operation may start. */
    SEEKING("seeking"),
    /** The store has confirmed the grant: operations that end within it may start. */
    HELD("held"),
    /** The store's responses are missing or inconclusive: the grant holds but isn't extended. */
    UNCONFIRMED("doubtful"),
    /**
     * The grant has ended or another process holds the lease: no operation may start, and the
     * running ones are stopped.
     */
    LOST("lost"),
    /** The lease was given up or was never wanted: no operation may start. */
    RELEASED("released"),
    /**
     * The store has lost data that was seen in it: no operation may start until an operator has
     * reset the record.
     */
    STORE_DISTRUSTED("refusing");

    private final String logWord;

    LeaseState(String logWord) {
        this.logWord = logWord;
    }

    /** The word for this state in log lines, which operators' scripts may match. */
    public String logWord() {
        return logWord;
    }

    /** Whether the lease is wanted but not granted. */
    boolean isAcquiring() {
        return this == SEEKING || this == STORE_DISTRUSTED;
    }

    /** Whether the table above lists this transition. */
    boolean canBecome(LeaseState next) {
        return switch (next) {
            case SEEKING -> this == RELEASED || this == LOST || this == STORE_DISTRUSTED;
            case HELD -> this == SEEKING || this == UNCONFIRMED || this == HELD;
            case UNCONFIRMED -> this == HELD;
            case LOST -> this == HELD || this == UNCONFIRMED;
            case STORE_DISTRUSTED -> this == SEEKING || this == STORE_DISTRUSTED;
            case RELEASED -> this != RELEASED;
        };
    }
}
