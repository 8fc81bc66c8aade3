package appleridge.lease;

/** What the last change of a {@link LeaseState} came from. */
public enum TransitionCause {
    /** Nothing that an operator has to know. */
    NONE("none"),
    /** The grant ran out without a renewal that the store answered. */
    EXPIRED("expired"),
    /** The record names another holder. */
    TAKEN_OVER("taken"),
    /** The connection to the store is down. */
    DISCONNECTED("disconnected"),
    /** It is unknown whether a write was done, or it conflicted with another. */
    OUTCOME_UNKNOWN("unknown"),
    /** The holder itself released it. */
    RELEASED("released"),
    /** The holder had nothing to do. */
    IDLE("idle"),
    /** The record is gone though it was seen. */
    RECORD_MISSING("wiped"),
    /** The record is older than one that was seen. */
    RECORD_ROLLED_BACK("restored");

    private final String logWord;

    TransitionCause(String logWord) {
        this.logWord = logWord;
    }

    /** The word for it in log lines, which operators' scripts may match. */
    public String logWord() {
        return logWord;
    }
}
