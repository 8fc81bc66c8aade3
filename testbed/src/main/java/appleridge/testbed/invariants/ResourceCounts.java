package appleridge.testbed.invariants;

import java.util.List;

/**
 * What a sidecar's books hold at a quiet moment.
 *
 * @param openCalls requests taken and not answered
 * @param attempts attempts that have not ended
 * @param clientConnections open connections of clients
 * @param upstreamConnections open connections to servers
 * @param timers what is planned in its loop
 * @param bufferBytes bytes of buffers that nobody has released
 * @param escaped exceptions that nobody caught
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

    /** With nothing in them. */
    public static ResourceCounts empty() {
        return new ResourceCounts(0, 0, 0, 0, 0, 0, List.of());
    }
}
