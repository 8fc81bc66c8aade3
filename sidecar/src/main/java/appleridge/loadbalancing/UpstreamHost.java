package appleridge.loadbalancing;

/**
 * An upstream host as reported by discovery.
 *
 * @param id opaque; unchanged by restarts of the host
 * @param zone number of the host's zone
 * @param kind index of the host's kind among the kinds that the settings name
 * @param cell the cell whose hosts share idempotency keys
 * @param weight as defined by {@link WeightKind}; may be absent (0) or implausible
 * @param startedAtNanos time of the host's last start, on the events' clock; 0 for long ago
 */
public record UpstreamHost(
        long id, int zone, int kind, int cell, HostState state, float weight, long startedAtNanos) {
    /** Returns this host with the state {@link HostState#GONE}. */
    public UpstreamHost asGone() {
        return new UpstreamHost(id, zone, kind, cell, HostState.GONE, weight, startedAtNanos);
    }
}
