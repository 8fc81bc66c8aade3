package appleridge.http1;

import java.util.Collection;
import java.util.Comparator;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Bounds the bytes that are written to connections but not accepted by the kernel, over all
 * connections together. Stateless.
 */
final class WriteBacklogLimit {
    private WriteBacklogLimit() {}

    /** Returns the pending bytes of all connections. */
    static <T> long pendingBytes(Collection<T> connections, Function<T, WriteBacklog> backlogOf) {
        return connections.stream()
                .map(backlogOf)
                .filter(WriteBacklog::isPending)
                .mapToLong(WriteBacklog::pendingBytes)
                .sum();
    }

    /**
     * Closes the connections whose peers have taken nothing for longest, until the pending bytes of
     * the others are within a limit.
     *
     * @param close closes a connection at once
     */
    static <T> void enforce(
            Collection<T> connections,
            Function<T, WriteBacklog> backlogOf,
            long maxBytes,
            Consumer<T> close) {
        long pendingBytes = pendingBytes(connections, backlogOf);
        if (pendingBytes <= maxBytes) {
            return;
        }
        Comparator<T> longestPendingFirst =
                (a, b) ->
                        Long.signum(
                                backlogOf.apply(a).pendingSinceNanos()
                                        - backlogOf.apply(b).pendingSinceNanos());
        for (T connection :
                connections.stream()
                        .filter(each -> backlogOf.apply(each).isPending())
                        .sorted(longestPendingFirst)
                        .toList()) {
            if (pendingBytes <= maxBytes) {
                return;
            }
            pendingBytes -= backlogOf.apply(connection).pendingBytes();
            close.accept(connection);
        }
    }
}
