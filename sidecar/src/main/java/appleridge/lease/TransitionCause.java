package appleridge.lease;

/** The cause of the last transition of a {@link LeaseState}. */
public enum TransitionCause {
    /** A transition that needs no explanation to operators. */
    NONE("none"),
    /** The grant ended without a renewal that the store has confirmed. */
    EXPIRED("expired"),
    /** The record names another holder. */
    TAKEN_OVER("taken"),
    /** The connection to the store is down. */
    DISCONNECTED("disconnected"),
    /** It is unknown whether a write succeeded, or it conflicted with another. */
    OUTCOME_UNKNOWN("unknown"),
    /** The holder released the lease. */
    RELEASED("released"),
    /** The holder started no operation within its idle time. */
    IDLE("idle"),
    /** A record that was seen is missing. */
    RECORD_MISSING("wiped"),
    /** The record is older than one that was seen. */
    RECORD_ROLLED_BACK("restored");

    private final String logWord;

    TransitionCause(String logWord) {
        this.logWord = logWord;
    }

    /** The word for this cause in log lines, which operators' scripts may match. */
    public String logWord() {
        return logWord;
    }
}
