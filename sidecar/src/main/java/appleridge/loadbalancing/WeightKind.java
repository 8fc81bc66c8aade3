package appleridge.loadbalancing;

/** What {@link UpstreamHost#weight()} holds. */
public enum WeightKind {
    /** Nothing: always 1. */
    SILENT,
    /** The host's registered size. */
    NOMINAL,
    /** A rough figure of its size. */
    ROUGH,
    /** Its present load, which changes all the time. */
    LIVE
}
