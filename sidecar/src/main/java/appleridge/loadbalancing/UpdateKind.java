package appleridge.loadbalancing;

/** Kind of an endpoint update. */
public enum UpdateKind {
    /** Changed hosts only; a removed host has the state {@link HostState#GONE}. */
    DELTA,
    /** All hosts; a known host that is missing is gone. */
    SNAPSHOT,
    /** All hosts as known before the sidecar started; discovery itself has not responded yet. */
    CACHED_SNAPSHOT,
    /** A call to discovery has failed, which ends the subscription. */
    FAILURE
}
