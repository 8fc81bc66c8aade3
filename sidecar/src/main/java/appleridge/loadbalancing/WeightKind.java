package appleridge.loadbalancing;

/** What {@link UpstreamHost#weight()} holds; LIVE changes with the load, SILENT is always 1. */
public enum WeightKind {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
}
