package appleridge.lease;

/** Where a holder is, and what may still be believed. */
public enum LeaseState {
    /** Wants the lease and has no grant: nothing may be done. */
    SEEKING,
    /** The store has answered lately: acts may begin that end within the grant. */
    HELD,
    /**
     * The store doesn't answer, or not for sure: the last grant stands to its end, nothing extends
     * it.
     */
    DOUBTFUL,
    /**
     * The grant has ended or another holds: nothing may begin, and what is under way is called off.
     */
    LOST,
    /** Given away, or never asked for: nothing may be done. */
    RELEASED,
    /**
     * The store has lost what was seen in it: nothing may be done until an operator has reset the
     * record.
     */
    REFUSING
}
