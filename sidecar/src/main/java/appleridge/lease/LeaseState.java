package appleridge.lease;

/**
 * Where a process stands with one lease, and what may still be believed.
 *
 * <pre>
 * from              to                on
 * RELEASED, LOST    SEEKING           acquire
 * SEEKING           HELD              a write of ours is proven done, and its grant not over
 * HELD              UNCONFIRMED       disconnect; conflict; unknown or missing answer
 * UNCONFIRMED       HELD              the store shows our own record
 * HELD, UNCONFIRMED LOST              the grant expires; the record names another, or is released
 * LOST              SEEKING           at once, where the store shows no record or an older one
 * SEEKING           STORE_DISTRUSTED  the store shows no record or an older one
 * STORE_DISTRUSTED  SEEKING           the store shows a record that is not older
 * any               RELEASED          release, grace period begins, or idle
 * </pre>
 *
 * <p>HELD to HELD is a renewal; STORE_DISTRUSTED to itself is another read that shows the same.
 */
public enum LeaseState {
    /** Wants the lease and has no grant: no operation may start. */
    SEEKING("seeking"),
    /** The store has confirmed the grant: operations may start that end within it. */
    HELD("held"),
    /** The store's answers are missing or inconclusive: the grant stands and is not extended. */
    UNCONFIRMED("doubtful"),
    /** The grant has ended or another holds: nothing may start, what runs is stopped. */
    LOST("lost"),
    /** Given up, or never asked for: no operation may start. */
    RELEASED("released"),
    /**
     * The store has lost what was seen in it: no operation may start until an operator has reset
     * the record.
     */
    STORE_DISTRUSTED("refusing");

    private final String logWord;

    LeaseState(String logWord) {
        this.logWord = logWord;
    }

    /** The word for it in log lines, which operators' scripts may match. */
    public String logWord() {
        return logWord;
    }

    /** Whether the lease is asked for and not granted. */
    boolean isAcquiring() {
        return this == SEEKING || this == STORE_DISTRUSTED;
    }

    /** Whether the table above has this transition. */
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
