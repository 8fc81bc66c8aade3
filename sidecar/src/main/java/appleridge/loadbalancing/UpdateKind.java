package appleridge.loadbalancing;

/**
 * Kind of a list event: changes only, everything, the last list known before a start, or a failed
 * call.
 */
public enum UpdateKind {
    DELTA,
    SNAPSHOT,
    CACHED_SNAPSHOT,
    FAILURE
}
