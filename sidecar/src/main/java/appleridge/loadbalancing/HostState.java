package appleridge.loadbalancing;

/** State of an upstream host as reported by discovery. */
public enum HostState {
    /** Removed from the endpoint list. */
    GONE,
    /** Accepts new requests. */
    READY,
    /** Shutting down gracefully: it finishes its open requests and gets no new ones. */
    DRAINING
}
