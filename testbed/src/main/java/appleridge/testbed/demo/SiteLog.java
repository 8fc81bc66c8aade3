package appleridge.testbed.demo;

import appleridge.testbed.standin.LoopbackRegistry;
import appleridge.testbed.standin.StandInListener;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records what clients, servers and discovery observe, for the verdict and the board. Not
 * thread-safe; times are in nanoseconds.
 */
final class SiteLog implements StandInListener {
    /** One request of a client and its outcome. */
    static final class Try {
        final Ask ask;
        boolean taken;
        final List<Integer> statuses = new ArrayList<>();
        String body;
        Ending ending;
        long endedAt;
        long resentAt = Long.MIN_VALUE;
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

    /** The start of a server process. */
    record ServerStart(boolean cold, long startedAt) {}

    /** A change of the state of a server in discovery. */
    static final class Change {
        final String server;
        final LoopbackRegistry.State state;
        final long knownAt;

        /** When it was first sent to the sidecar; {@link Long#MAX_VALUE} if never. */
        long sentAt = Long.MAX_VALUE;

        private Change(String server, LoopbackRegistry.State state, long knownAt) {
            this.server = server;
            this.state = state;
            this.knownAt = knownAt;
        }
    }

    /** The outcome of a client that violates the protocol. */
    record BadClient(String what, String how, boolean served) {}

    final Map<String, Try> tries = new LinkedHashMap<>();

    /** All arrivals at servers, in their order. */
    final List<Arrival> arrivals = new ArrayList<>();

    final Map<String, ServerStart> serverStarts = new LinkedHashMap<>();
    final List<Change> changes = new ArrayList<>();
    final List<String> fallenServers = new ArrayList<>();
    final List<BadClient> badClients = new ArrayList<>();

    /** Connections on which a client received bytes that no request waited for. */
    final List<String> unsolicited = new ArrayList<>();

    /** Requests that have ended since this was last cleared. */
    final List<Try> newlyEnded = new ArrayList<>();

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
        Try request = tries.get(id);
        request.statuses.add(status);
        request.body = body;
        request.endedAt = at;
        newlyEnded.add(request);
    }

    @Override
    public void ended(String id, Ending how, long at) {
        Try request = tries.get(id);
        request.ending = how;
        request.endedAt = at;
        newlyEnded.add(request);
    }

    @Override
    public void sentAgain(String id, long at) {
        tries.get(id).resentAt = at;
    }

    @Override
    public void unasked(String connection, long at) {
        unsolicited.add(connection);
    }

    @Override
    public void badClient(String what, String how, boolean served) {
        badClients.add(new BadClient(what, how, served));
    }

    @Override
    public void started(String server, boolean cold, long at) {
        serverStarts.put(server, new ServerStart(cold, at));
    }

    @Override
    public void arrived(Arrival arrival) {
        arrivals.add(arrival);
        Try request = tries.get(arrival.id());
        if (request != null) {
            request.arrivals.add(arrival);
        }
    }

    @Override
    public void made(String server, String id, String body) {
        Try request = tries.get(id);
        if (request != null) {
            request.made.add(body);
        }
    }

    @Override
    public void fellOver(String server, long at) {
        fallenServers.add(server);
    }

    @Override
    public void changed(String server, LoopbackRegistry.State state, long at) {
        changes.add(new Change(server, state, at));
    }

    @Override
    public void told(String server, LoopbackRegistry.State state, long at) {
        for (Change change : changes) {
            if (change.server.equals(server) && change.state == state) {
                change.sentAt = Math.min(change.sentAt, at);
            }
        }
    }
}
