package appleridge.testbed.invariants;

/**
 * What a sidecar's process counts, and what its machine holds; looked at in quiet moments alone.
 */
public interface ResourceProbe {
    /** What the process says of itself; null while none runs. */
    ResourceCounts resources(String sidecar);

    /** Connections that the process has accepted and not closed. */
    int clientConnections(String sidecar);

    /** Connections to servers that the process opens, or has opened and not closed. */
    int upstreamConnections(String sidecar);
}
