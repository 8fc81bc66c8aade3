package appleridge.discovery.ephemeral;

/** Why the list is stale: the last one stands although nothing new is known. */
public enum StalenessCause {
    /** The list is not stale. */
    NONE("the coordination service is heard"),
    /** No server of the ensemble answers. */
    NOT_CONNECTED("the coordination service can't be reached"),
    /** The path that the nodes stand under is not there. */
    ROOT_MISSING("the path of the nodes is not there"),
    /** The path may not be read. */
    ACCESS_DENIED("the path of the nodes may not be read"),
    /** A server that lags tells of an older state. */
    OLDER("the coordination server that answers lags behind what it told before"),
    /** A server that has lost the others. */
    READ_ONLY("the coordination server that answers has lost the others"),
    /** The ensemble begins again from nothing, or from an old copy. */
    WIPED("the coordination service has lost what it knew"),
    /** The names are more than one answer may hold. */
    TOO_LARGE("the names of the nodes are more than one answer may hold");

    private final String description;

    StalenessCause(String words) {
        this.description = words;
    }

    /** For log lines that operators read. */
    public String description() {
        return description;
    }
}
