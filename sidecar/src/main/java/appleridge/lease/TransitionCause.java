package appleridge.lease;

/** What the last change of state came from. */
public enum TransitionCause {
    /** Nothing happened that an operator should know. */
    NONE,
    /** The grant's time went by without a renewal that the store answered. */
    EXPIRED,
    /** The record names another holder. */
    TAKEN,
    /** The connection to the store is down. */
    DISCONNECTED,
    /** It can't be known whether a write was done, or it came upon another. */
    UNKNOWN,
    /** The holder itself gave it away. */
    RELEASED,
    /** The holder had nothing to do. */
    IDLE,
    /** The record is gone though it was there. */
    WIPED,
    /** The record is older than one that was seen. */
    RESTORED
}
