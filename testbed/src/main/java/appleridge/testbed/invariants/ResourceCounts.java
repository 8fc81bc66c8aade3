package appleridge.testbed.invariants;

import java.util.List;

/**
 * Resource counts of an idle sidecar.
 *
 * @param openCalls requests accepted and not answered
 * @param attempts attempts that have not ended
 * @param clientConnections open connections of clients
 * @param upstreamConnections open connections to servers
 * @param timers timers scheduled in its loop
 * @param bufferBytes bytes in unreleased buffers
 * @param escaped uncaught exceptions
 */
public record ResourceCounts(
        int openCalls,
        int attempts,
        int clientConnections,
        int upstreamConnections,
        int timers,
        long bufferBytes,
        List<String> escaped) {
    public ResourceCounts {
        escaped = List.copyOf(escaped);
    }

    /** Returns counts of zero. */
    public static ResourceCounts empty() {
        return new ResourceCounts(0, 0, 0, 0, 0, 0, List.of());
    }
}
