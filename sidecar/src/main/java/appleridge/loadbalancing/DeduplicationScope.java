package appleridge.loadbalancing;

/** Which hosts recognise the idempotency key of a request that another host may have executed. */
public enum DeduplicationScope {
    /** All hosts of the service. */
    ALL,
    /** Those in the zone of the first host. */
    ZONE,
    /** Those in the cell of the first host. */
    CELL
}
