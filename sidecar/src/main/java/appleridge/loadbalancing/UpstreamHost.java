package appleridge.loadbalancing;

/**
 * An upstream as the list shows it.
 *
 * @param id opaque and stable over restarts
 * @param startedAtNanos when it last started; 0 for long ago
 */
public record UpstreamHost(
        long id, int zone, int kind, int cell, HostState state, float weight, long startedAtNanos) {
    /** The same upstream, gone. */
    public UpstreamHost asGone() {
        return new UpstreamHost(id, zone, kind, cell, HostState.GONE, weight, startedAtNanos);
    }
}
