package appleridge.loadbalancing;

/** State of an upstream host in discovery. */
public enum HostState {
    /** No longer there. */
    GONE,
    /** Takes new requests. */
    READY,
    /** Shuts down gracefully: finishes what it has, gets nothing new. */
    DRAINING
}
