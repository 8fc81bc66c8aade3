package appleridge.http1;

import appleridge.request.LogEvent;
import appleridge.transport.SidecarEventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Holds the open client connections and enforces their limits: evicts connections to make room for
 * new ones, and resets those whose clients do not read. Event loop only.
 */
final class ClientConnectionRegistry {
    /** The maximum fraction of the connection limit for connections kept idle after a response. */
    private static final double MAX_KEPT_IDLE_FRACTION = 0.3;

    private final SidecarEventLoop loop;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final long maxUnreadBytes;
    private int maxConnections;
    private boolean evicting;

    /**
     * Creates an empty registry.
     *
     * @param maxConnections the maximum number of connections
     * @param maxUnreadBytes the maximum number of response bytes that wait for clients to read,
     *     over all connections
     */
    ClientConnectionRegistry(SidecarEventLoop loop, int maxConnections, long maxUnreadBytes) {
        this.loop = loop;
        this.maxUnreadBytes = maxUnreadBytes;
        this.maxConnections = maxConnections;
    }

    /** Adds an accepted connection, and evicts others if the limit is exceeded. */
    void add(ClientConnection connection) {
        connections.add(connection);
        makeRoom();
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    int size() {
        return connections.size();
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Whether the number of open connections is within the limit. */
    boolean isWithinLimit() {
        return connections.size() <= maxConnections;
    }

    /** Sets the limit, and evicts connections that exceed it. */
    void limitTo(int newMaxConnections) {
        maxConnections = newMaxConnections;
        makeRoom();
    }

    /** Returns a copy of the open connections, oldest first. */
    List<ClientConnection> snapshot() {
        return List.copyOf(connections);
    }

    /**
     * Evicts connections until the limit holds or none can be evicted. Without this, clients that
     * send no requests would keep out those that do.
     */
    void makeRoom() {
        if (connections.size() > maxConnections) {
            evictWhile(() -> connections.size() > maxConnections);
        }
    }

    /** Evicts one connection, if any can be evicted. */
    void evictOne() {
        int before = connections.size();
        evictWhile(() -> connections.size() == before);
    }

    private void evictWhile(BooleanSupplier wanted) {
        whileEvicting(
                () -> {
                    while (wanted.getAsBoolean() && tryToEvict()) {
                        continue;
                    }
                });
    }

    /**
     * Runs a task that closes connections, unless one is running already. Eviction reads pending
     * input first, a request read this way may be answered at once, and its response triggers
     * eviction again: without this guard the recursion could be as deep as there are connections.
     */
    private void whileEvicting(Runnable task) {
        if (evicting) {
            return;
        }
        evicting = true;
        try {
            task.run();
        } finally {
            evicting = false;
        }
    }

    /**
     * Tries to evict the connection of the highest priority, which may fail because a request has
     * arrived on it. Returns false if no connection can be evicted.
     */
    private boolean tryToEvict() {
        long now = loop.nanoTime();
        ClientConnection candidate = null;
        EvictionPriority highest = EvictionPriority.NEVER;
        for (ClientConnection connection : connections) {
            EvictionPriority priority = connection.evictionPriority(now);
            int order = priority.compareTo(highest);
            if (order > 0 || order == 0 && candidate != null && isOlder(connection, candidate)) {
                candidate = connection;
                highest = priority;
            }
        }
        if (candidate != null && candidate.evict()) {
            logClosed("evicted");
            connections.remove(candidate);
        }
        return candidate != null;
    }

    private static boolean isOlder(ClientConnection first, ClientConnection second) {
        return first.stateSinceNanos() - second.stateSinceNanos() < 0;
    }

    /**
     * Closes the longest idle connection if more are kept idle than allowed.
     *
     * <p>The application's descriptors are limited too. If its clients send one request each and
     * keep their connections, or the clients of another sidecar move to this one, all of its
     * descriptors could be held by idle connections here while new requests find none. The cost is
     * that where more clients than that send requests only now and then, each has to reconnect.
     */
    void boundKeptIdle() {
        int maxKept = (int) (maxConnections * MAX_KEPT_IDLE_FRACTION);
        if (connections.size() <= maxKept || evicting) {
            return;
        }
        List<ClientConnection> kept =
                connections.stream().filter(ClientConnection::isKeptIdle).toList();
        if (kept.size() > maxKept) {
            ClientConnection longestIdle =
                    kept.stream()
                            .min((a, b) -> Long.signum(a.stateSinceNanos() - b.stateSinceNanos()))
                            .orElseThrow();
            whileEvicting(longestIdle::closeIfIdle);
        }
    }

    /**
     * Resets the connections that have waited longest for their clients to read, until the unread
     * bytes are within the limit.
     */
    void boundUnread() {
        // Streamed responses are not tracked here: backpressure on their sources bounds them.
        WriteBacklogLimit.enforce(
                connections,
                ClientConnection::writeBacklog,
                maxUnreadBytes,
                connection -> connection.writeBacklog().reset());
    }

    /** The number of response bytes that wait for clients to read. */
    long unreadBytes() {
        return WriteBacklogLimit.pendingBytes(connections, ClientConnection::writeBacklog);
    }

    /** Logs the reason why this side closes a client connection. */
    void logClosed(String reason) {
        loop.log()
                .event(
                        LogEvent.CLIENT_CONNECTION_CLOSED,
                        () ->
                                "reason="
                                        + reason
                                        + " connections="
                                        + connections.size()
                                        + " most="
                                        + maxConnections);
    }
}
