package appleridge.loadbalancing;

/** State of an upstream in a list. */
public enum HostState {
    GONE,
    READY,
    DRAINING
}
