package appleridge.testbed.invariants;

/**
 * What a sidecar's process counts, and what its machine holds; looked at in quiet moments alone.
 */
public interface Ledger {
    /** What the process says of itself; null while none runs. */
    ResourceCounts books(String sidecar);

    /** Connections that the process has accepted and not closed. */
    int clients(String sidecar);

    /** Connections to servers that the process opens, or has opened and not closed. */
    int upstreams(String sidecar);
}
