package appleridge.http1;

import appleridge.request.LogEvent;
import appleridge.transport.SidecarEventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * The client connections that are open, and the bounds on them: evicts connections to make room for
 * new ones, and resets those whose clients do not read. Loop thread only.
 */
final class ClientConnectionRegistry {
    /**
     * Bytes of responses that wait for clients to read, over all connections: a third of what the
     * process is given outside the heap, where they are held.
     */
    static final long MAX_UNREAD_BYTES = 8 << 20;

    /** Of the cap, for connections that have had their response and are idle. */
    private static final double MAX_KEPT_IDLE_FRACTION = 0.3;

    private final SidecarEventLoop loop;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private int maxConnections;
    private boolean evicting;

    /** With the most connections that are held at once. */
    ClientConnectionRegistry(SidecarEventLoop loop, int maxConnections) {
        this.loop = loop;
        this.maxConnections = maxConnections;
    }

    /** A connection has been accepted; another may be evicted for it. */
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

    /** Whether no more connections are open than may be. */
    boolean isWithinLimit() {
        return connections.size() <= maxConnections;
    }

    /** Sets the most connections that are held at once, and evicts down to it. */
    void limitTo(int connectionsAtMost) {
        maxConnections = connectionsAtMost;
        makeRoom();
    }

    /** The open connections as of now, oldest first; not changed by what is closed meanwhile. */
    List<ClientConnection> snapshot() {
        return List.copyOf(connections);
    }

    /**
     * Evicts until the limit holds, as far as there are connections to evict. Without this, clients
     * that send nothing, or no more, would keep out those that do.
     */
    void makeRoom() {
        if (connections.size() > maxConnections) {
            evictWhile(() -> connections.size() > maxConnections);
        }
    }

    /** Evicts one connection, if there is one to evict. */
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
     * Runs something that closes connections, unless that is going on already. What is to be closed
     * is read first, and what is read may be answered at once, which leads here again: without
     * this, as deep as there are connections.
     */
    private void whileEvicting(Runnable what) {
        if (evicting) {
            return;
        }
        evicting = true;
        try {
            what.run();
        } finally {
            evicting = false;
        }
    }

    /** Evicts the connection of the highest priority; returns false if there is none to evict. */
    private boolean tryToEvict() {
        long now = loop.nanoTime();
        ClientConnection candidate = null;
        EvictionPriority highest = EvictionPriority.NEVER;
        for (ClientConnection each : connections) {
            EvictionPriority priority = each.evictionPriority(now);
            int order = priority.compareTo(highest);
            if (order > 0 || order == 0 && candidate != null && isOlder(each, candidate)) {
                candidate = each;
                highest = priority;
            }
        }
        if (candidate != null && candidate.evict()) {
            logClosed("evicted");
            connections.remove(candidate);
        }
        return candidate != null;
    }

    private static boolean isOlder(ClientConnection one, ClientConnection other) {
        return one.stateSinceNanos() - other.stateSinceNanos() < 0;
    }

    /**
     * Closes the longest idle connection where more are kept idle than may be.
     *
     * <p>The application's descriptors are bounded too. Where its clients ask once and keep their
     * connection, or another sidecar's clients come over, all of them would be idle here while its
     * requests find none. Where more clients than are kept ask now and then, each has to reconnect.
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
     * Resets the connections that have waited longest for their clients to read, over the bound.
     */
    void boundUnread() {
        long unreadBytes =
                connections.stream().mapToLong(each -> each.writeBacklog().pendingBytes()).sum();
        while (unreadBytes > MAX_UNREAD_BYTES) {
            // Streamed responses are bounded by themselves: their sources wait.
            WriteBacklog longest =
                    connections.stream()
                            .map(ClientConnection::writeBacklog)
                            .filter(WriteBacklog::isPending)
                            .min(
                                    (a, b) ->
                                            Long.signum(
                                                    a.pendingSinceNanos() - b.pendingSinceNanos()))
                            .orElse(null);
            if (longest == null) {
                return;
            }
            unreadBytes -= longest.pendingBytes();
            longest.reset();
        }
    }

    /** Logs that a client's connection is closed from this side, and why. */
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
