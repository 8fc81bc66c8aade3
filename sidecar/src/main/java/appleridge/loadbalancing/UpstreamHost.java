package appleridge.loadbalancing;

/**
 * An upstream host as discovery shows it.
 *
 * @param id opaque; the same over restarts
 * @param zone its zone
 * @param kind index of its kind among the kinds that the settings name
 * @param cell the cell whose hosts share idempotency keys
 * @param weight as {@link WeightKind} says; may be absent (0) or absurd
 * @param startedAtNanos when it last started, on the events' clock; 0 for long ago
 */
public record UpstreamHost(
        long id, int zone, int kind, int cell, HostState state, float weight, long startedAtNanos) {
    /** The same host with the state {@link HostState#GONE}. */
    public UpstreamHost asGone() {
        return new UpstreamHost(id, zone, kind, cell, HostState.GONE, weight, startedAtNanos);
    }
}
