package appleridge.discovery.ephemeral;

/** Why the endpoint list is stale: the last one stays in force until the next snapshot. */
public enum StalenessCause {
    /** The list is not stale. */
    NONE("the coordination service is heard"),
    /** No server of the ensemble can be reached. */
    NOT_CONNECTED("the coordination service can't be reached"),
    /** The parent path of the nodes does not exist. */
    ROOT_MISSING("the path of the nodes is not there"),
    /** The client has no permission to read the path. */
    ACCESS_DENIED("there is no permission to read the path of the nodes"),
    /** The connected server lags and has an older state. */
    OLDER("the connected coordination server has an older state than was seen before"),
    /** The connected server has lost its quorum. */
    READ_ONLY("the connected coordination server has lost its quorum"),
    /** The ensemble has restarted empty, or from an old copy. */
    WIPED("the coordination service has lost its data"),
    /** The names of the nodes exceed the size limit of one response. */
    TOO_LARGE("the names of the nodes exceed the size limit of one response");

    private final String description;

    StalenessCause(String description) {
        this.description = description;
    }

    /** Returns the text for log lines. */
    public String description() {
        return description;
    }
}
