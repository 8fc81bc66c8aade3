package appleridge.loadbalancing;

/** Which upstreams drop a repeat of a keyed request: all, those of one zone, those of one cell. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
