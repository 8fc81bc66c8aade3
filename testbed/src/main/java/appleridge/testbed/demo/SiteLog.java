package appleridge.testbed.demo;

import appleridge.testbed.standin.LoopbackRegistry;
import appleridge.testbed.standin.StandInListener;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All that clients, servers and discovery saw, for the verdict and the board. */
final class SiteLog implements StandInListener {
    /** What became of one try of a client. */
    static final class Try {
        final Ask ask;
        boolean taken;
        final List<Integer> statuses = new ArrayList<>();
        String body;
        Ending ending;
        long endedAt;
        long sentAgainAt = Long.MIN_VALUE;
        final List<Arrival> arrivals = new ArrayList<>();
        final Set<String> made = new HashSet<>();

        private Try(Ask ask) {
            this.ask = ask;
        }

        boolean over() {
            return ending != null || !statuses.isEmpty();
        }

        boolean served() {
            return statuses.contains(200);
        }

        boolean refused() {
            return statuses.contains(429) || statuses.contains(503);
        }
    }

    /** A server process. */
    record Life(boolean cold, long startedAt) {}

    /** A state of a server that discovery came to know. */
    static final class Change {
        final String server;
        final LoopbackRegistry.State state;
        final long knownAt;

        /** When it was first written to the sidecar; the largest value if never. */
        long toldAt = Long.MAX_VALUE;

        private Change(String server, LoopbackRegistry.State state, long knownAt) {
            this.server = server;
            this.state = state;
            this.knownAt = knownAt;
        }
    }

    /** What became of a client that does not speak as it should. */
    record BadClient(String what, String how, boolean served) {}

    final Map<String, Try> tries = new LinkedHashMap<>();

    /** In the order of their coming. */
    final List<Arrival> arrivals = new ArrayList<>();

    final Map<String, Life> lives = new LinkedHashMap<>();
    final List<Change> changes = new ArrayList<>();
    final List<String> fallen = new ArrayList<>();
    final List<BadClient> badClients = new ArrayList<>();
    final List<String> unasked = new ArrayList<>();

    /** Tries that have ended since this was last emptied. */
    final List<Try> fresh = new ArrayList<>();

    @Override
    public void asks(Ask ask) {
        tries.put(ask.id(), new Try(ask));
    }

    @Override
    public void taken(String id, long at) {
        tries.get(id).taken = true;
    }

    @Override
    public void answered(String id, int status, String body, long at) {
        Try answered = tries.get(id);
        answered.statuses.add(status);
        answered.body = body;
        answered.endedAt = at;
        fresh.add(answered);
    }

    @Override
    public void ended(String id, Ending how, long at) {
        Try ended = tries.get(id);
        ended.ending = how;
        ended.endedAt = at;
        fresh.add(ended);
    }

    @Override
    public void sentAgain(String id, long at) {
        tries.get(id).sentAgainAt = at;
    }

    @Override
    public void unasked(String connection, long at) {
        unasked.add(connection);
    }

    @Override
    public void badClient(String what, String how, boolean served) {
        badClients.add(new BadClient(what, how, served));
    }

    @Override
    public void started(String server, boolean cold, long at) {
        lives.put(server, new Life(cold, at));
    }

    @Override
    public void arrived(Arrival arrival) {
        arrivals.add(arrival);
        Try meant = tries.get(arrival.id());
        if (meant != null) {
            meant.arrivals.add(arrival);
        }
    }

    @Override
    public void made(String server, String id, String body) {
        Try meant = tries.get(id);
        if (meant != null) {
            meant.made.add(body);
        }
    }

    @Override
    public void fellOver(String server, long at) {
        fallen.add(server);
    }

    @Override
    public void changed(String server, LoopbackRegistry.State state, long at) {
        changes.add(new Change(server, state, at));
    }

    @Override
    public void told(String server, LoopbackRegistry.State state, long at) {
        for (Change change : changes) {
            if (change.server.equals(server) && change.state == state) {
                change.toldAt = Math.min(change.toldAt, at);
            }
        }
    }
}
