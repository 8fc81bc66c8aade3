package appleridge.testbed.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one life of a sidecar has been told of the servers, or counts as having been told, and when.
 */
final class DeliveredUpdates {
    /** A server's book. */
    private static final class Server {
        /**
         * Moments at which it became one that drains or is gone (even places), or ready again (odd
         * places).
         */
        private final List<Long> transitions = new ArrayList<>(2);

        /** Starts told of: when, and the start's own time. */
        private final List<long[]> starts = new ArrayList<>(2);

        /** The last place in discovery's knowledge that this book takes account of. */
        private int historyIndex = -1;

        /** As it was before what was told last. */
        private int previousHistoryIndex = -1;

        private boolean isDraining() {
            return transitions.size() % 2 == 1;
        }
    }

    private final Map<String, Server> servers = new HashMap<>();
    private final DiscoveryHistory history;
    private final long since;

    /** Knowledge ahead of this place has been counted as told. */
    private int countedEntries;

    DeliveredUpdates(DiscoveryHistory history, long since) {
        this.history = history;
        this.since = since;
    }

    /** When this life began. */
    long since() {
        return since;
    }

    /**
     * Discovery has written it to the sidecar. That a server drains, said by a list older than one
     * that was told before, obliges to nothing: who knows better may go on.
     */
    void delivered(long now, String uid, String state, long bornAt) {
        Server server = server(uid);
        int historyIndex = history.lastIndex(uid, state, bornAt);
        if (historyIndex < server.historyIndex && !state.equals("Ready")) {
            return;
        }
        server.previousHistoryIndex = server.historyIndex;
        server.historyIndex = Math.max(server.historyIndex, historyIndex);
        apply(server, now, state, bornAt);
    }

    /**
     * That servers drain, as was told at that moment, has not reached the sidecar; it counts as
     * told when what did not arrive does.
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

    /** Nothing is known of a server any more. */
    void forget(String uid) {
        servers.remove(uid);
    }

    /**
     * Since when, at a moment, it was told that a server is ready; never if it was told otherwise,
     * or nothing.
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

    /** The start that was told last; 0 for long ago. */
    long latestStart(String uid) {
        Server server = servers.get(uid);
        return server == null || server.starts.isEmpty()
                ? 0
                : server.starts.get(server.starts.size() - 1)[1];
    }

    /** All that discovery knew at a moment counts as told now, unless something newer was told. */
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
     * Since when, at a moment, it was told that a server drains or is gone; never if it was told
     * otherwise.
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

    /** Whether it was told of a server that had not been draining for it at that moment already. */
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

    /** When it was told of a start, given to the millisecond at least; never if it was not. */
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
