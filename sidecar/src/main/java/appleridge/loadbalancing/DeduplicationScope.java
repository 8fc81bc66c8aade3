package appleridge.loadbalancing;

/**
 * The hosts that recognise the idempotency key of a request that another host may have executed.
 */
public enum DeduplicationScope {
    /** All hosts of the service. */
    ALL,
    /** The hosts in the zone of the host that may have executed the request. */
    ZONE,
    /** The hosts in the cell of the host that may have executed the request. */
    CELL
}
