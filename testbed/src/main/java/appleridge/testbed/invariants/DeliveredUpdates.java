package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one incarnation of a sidecar has been told of the servers, or counts as having been told,
 * and when.
 */
final class DeliveredUpdates {
    /** What was delivered about one server. */
    private static final class Server {
        /**
         * Times at which the server became draining or gone (even positions) or ready again (odd
         * positions).
         */
        private final List<Long> transitions = new ArrayList<>(2);

        /** Delivered starts: time of delivery and start time. */
        private final List<long[]> starts = new ArrayList<>(2);

        /** Index of the latest history entry that this state reflects. */
        private int historyIndex = -1;

        /** Value of {@code historyIndex} before the latest delivery. */
        private int previousHistoryIndex = -1;

        private boolean isDraining() {
            return transitions.size() % 2 == 1;
        }
    }

    private final Map<String, Server> servers = new HashMap<>();
    private final DiscoveryHistory history;
    private final long since;

    /** History entries before this index have been counted as delivered. */
    private int countedEntries;

    DeliveredUpdates(DiscoveryHistory history, long since) {
        this.history = history;
        this.since = since;
    }

    /** Returns when this incarnation started. */
    long since() {
        return since;
    }

    /**
     * Records an entry that discovery has written to the sidecar. A draining state from a list
     * older than one delivered before is ignored: the sidecar knows better and may go on.
     *
     * @param readyToo whether a ready state that is older is ignored too, because what counts as
     *     delivered does so from before the sidecar could ask
     */
    void delivered(long now, String uid, String state, long bornAt, boolean readyToo) {
        Server server = server(uid);
        int historyIndex = history.lastIndex(uid, state, bornAt);
        if (historyIndex < server.historyIndex && (readyToo || !state.equals("Ready"))) {
            return;
        }
        server.previousHistoryIndex = server.historyIndex;
        server.historyIndex = Math.max(server.historyIndex, historyIndex);
        apply(server, now, state, bornAt);
    }

    /**
     * Reverts the draining states delivered at this time, which did not reach the sidecar. They
     * count as delivered when the undelivered data does.
     */
    void withdraw(long at) {
        for (Server server : servers.values()) {
            int last = server.transitions.size() - 1;
            if (server.isDraining() && server.transitions.get(last) == at) {
                server.transitions.remove(last);
                server.historyIndex = server.previousHistoryIndex;
            }
        }
    }

    /** Forgets everything delivered about a server. */
    void forget(String uid) {
        servers.remove(uid);
    }

    /**
     * Returns since when, as of {@code moment}, the sidecar has been told that a server is ready;
     * NEVER if it was told otherwise or nothing.
     */
    long readySince(String uid, long moment) {
        Server server = servers.get(uid);
        if (server == null
                || server.starts.isEmpty()
                || server.starts.get(0)[0] > moment
                || drainingSince(uid, moment) != AttemptRecord.NEVER) {
            return AttemptRecord.NEVER;
        }
        long since = server.starts.get(0)[0];
        for (int i = 1;
                i < server.transitions.size() && server.transitions.get(i) <= moment;
                i += 2) {
            since = server.transitions.get(i);
        }
        return since;
    }

    /** Returns the start that was delivered last; 0 for long ago. */
    long latestStart(String uid) {
        Server server = servers.get(uid);
        return server == null || server.starts.isEmpty()
                ? 0
                : server.starts.get(server.starts.size() - 1)[1];
    }

    /**
     * Counts everything that discovery knew at {@code horizon} as delivered now, except where
     * something newer was delivered.
     */
    void countUpTo(long horizon, long now) {
        for (;
                countedEntries < history.size() && history.get(countedEntries).at() <= horizon;
                countedEntries++) {
            DiscoveryHistory.Entry entry = history.get(countedEntries);
            Server server = server(entry.uid());
            if (countedEntries > server.historyIndex) {
                server.historyIndex = countedEntries;
                apply(server, now, entry.state(), entry.bornAt());
            }
        }
    }

    private Server server(String uid) {
        return servers.computeIfAbsent(uid, name -> new Server());
    }

    private static void apply(Server server, long now, String state, long bornAt) {
        boolean ready = state.equals("Ready");
        if (ready == server.isDraining()) {
            server.transitions.add(now);
        }
        if (ready
                && (server.starts.isEmpty()
                        || server.starts.get(server.starts.size() - 1)[1] != bornAt)) {
            server.starts.add(new long[] {now, bornAt});
        }
    }

    /**
     * Returns since when, as of {@code moment}, the sidecar has been told that a server is draining
     * or gone; NEVER if it was told otherwise.
     */
    long drainingSince(String uid, long moment) {
        Server server = servers.get(uid);
        if (server == null) {
            return AttemptRecord.NEVER;
        }
        int at = server.transitions.size() - 1;
        while (at >= 0 && server.transitions.get(at) > moment) {
            at--;
        }
        return at >= 0 && at % 2 == 0 ? server.transitions.get(at) : AttemptRecord.NEVER;
    }

    /**
     * Returns whether a server was delivered that was not yet known to be draining at {@code
     * moment}.
     */
    boolean mayListReady(long moment) {
        for (Map.Entry<String, Server> each : servers.entrySet()) {
            if (!each.getValue().starts.isEmpty()
                    && (!each.getValue().isDraining()
                            || drainingSince(each.getKey(), moment) == AttemptRecord.NEVER)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns when a start was delivered; NEVER if it was not. Starts are compared to the
     * millisecond.
     */
    long startDeliveredAt(String uid, long bornAt) {
        Server server = servers.get(uid);
        if (server != null) {
            for (long[] each : server.starts) {
                if (Math.abs(each[1] - bornAt) < TimeSpans.MS) {
                    return each[0];
                }
            }
        }
        return AttemptRecord.NEVER;
    }
}
