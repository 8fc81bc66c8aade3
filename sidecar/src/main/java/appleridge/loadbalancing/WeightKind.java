package appleridge.loadbalancing;

/** What {@link UpstreamHost#weight()} holds. */
public enum WeightKind {
    /** No information: the weight is always 1. */
    SILENT,
    /** The host's registered size. */
    NOMINAL,
    /** A rough estimate of the host's size. */
    ROUGH,
    /** The host's present load, which changes all the time. */
    LIVE
}
