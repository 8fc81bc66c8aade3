package appleridge.loadbalancing;

/** Kind of an endpoint update. */
public enum UpdateKind {
    /** Changed hosts only; a removed one has the state {@link HostState#GONE}. */
    DELTA,
    /** All hosts; those that are missing are gone. */
    SNAPSHOT,
    /** All hosts as they were known before a start; discovery itself has not answered yet. */
    CACHED_SNAPSHOT,
    /** A call to discovery has failed; the subscription no longer holds. */
    FAILURE
}
