package appleridge.testbed.invariants;

/**
 * What a sidecar's process counts, and what its machine holds; read only when the sidecar is idle.
 */
public interface ResourceProbe {
    /** Returns the counts that the process reports; null while none runs. */
    ResourceCounts resources(String sidecar);

    /** Returns the connections that the process has accepted and not closed. */
    int clientConnections(String sidecar);

    /** Returns the connections to servers that are being opened, or are open. */
    int upstreamConnections(String sidecar);
}
