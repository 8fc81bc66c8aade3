package appleridge.loadbalancing;

/** Whether the list comes by itself or must be subscribed to. */
public enum DiscoveryMode {
    PUSHED,
    SUBSCRIBED
}
