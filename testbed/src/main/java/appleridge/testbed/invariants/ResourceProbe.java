package appleridge.testbed.invariants;

/**
 * What a sidecar's process counts, and what its machine holds; except for the buffers, read only
 * when the sidecar is idle.
 */
public interface ResourceProbe {
    /** Returns the counts that the process reports; null while none runs. */
    ResourceCounts resources(String sidecar);

    /** Whether a process runs. */
    boolean isRunning(String sidecar);

    /** Returns what the running process buffers. */
    BufferCounts buffers(String sidecar);

    /** Returns what the running process has written and its sockets have not taken. */
    WriteBacklogCounts writeBacklogs(String sidecar);

    /** Returns the connections that the process has accepted and not closed. */
    int clientConnections(String sidecar);

    /** Returns the connections to servers that are being opened, or are open. */
    int upstreamConnections(String sidecar);
}
