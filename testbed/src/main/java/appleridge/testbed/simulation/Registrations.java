package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.loadbalancing.HostState;
import appleridge.testbed.simnet.SeededRandom;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ephemeral nodes of the order servers. A node is created some time after its server listens
 * and marked as draining with it. It is removed at once when the server stops in order, and when
 * the session times out after a crash or while the machine is unreachable.
 */
final class Registrations {

    /** One process of a server. */
    private static final class Server {
        private final int life;
        private final long bornAt;
        private boolean draining;
        private boolean stopped;
        private long unreachableSince = -1;

        Server(int life, long bornAt) {
            this.life = life;
            this.bornAt = bornAt;
        }
    }

    private static final long MAX_REGISTRATION_DELAY_NANOS = 500 * Site.MS;
    private static final long MAX_UPDATE_DELAY_NANOS = 40 * Site.MS;
    private static final long SESSION_CHECK_INTERVAL_NANOS = 250 * Site.MS;
    private static final long AGE_BEFORE_DAY_MILLIS = 3_600_000;
    private static final double STARTED_AT_PROBABILITY = 0.85;

    private final Day day;
    private final Ensemble ensemble;
    private final Fleet fleet;
    private final SeededRandom random;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Boolean> publishesStart = new LinkedHashMap<>();

    Registrations(Day day, Ensemble ensemble, Fleet fleet) {
        this.day = day;
        this.ensemble = ensemble;
        this.fleet = fleet;
        this.random = day.work("registrations");
        day.after(SESSION_CHECK_INTERVAL_NANOS, this::checkSessions);
    }

    /** Called when the actual state of a server changes. */
    void serverState(String uid, int life, String state, long bornAt) {
        if (state.equals(Instances.READY)) {
            Server server = new Server(life, bornAt);
            servers.put(uid, server);

            // With a registry as a second source, a start without its time could not be told from

            // a later one.
            publishesStart.put(uid, random.hits(STARTED_AT_PROBABILITY) || ensemble.isBoth());
            if (bornAt == 0) {
                put(uid, server);
            } else {
                later(random.nextLong(MAX_REGISTRATION_DELAY_NANOS), () -> put(uid, server));
            }
            return;
        }
        Server server = servers.get(uid);
        if (server == null || server.life != life) {
            return;
        }
        if (state.equals(Instances.TERMINATING)) {
            server.draining = true;
            later(
                    random.nextLong(MAX_UPDATE_DELAY_NANOS),
                    () -> {
                        if (ensemble.node(uid) != null) {
                            put(uid, server);
                        }
                    });
        } else {
            server.stopped = true;
            long timeout = ensemble.timeout();
            long wait =
                    server.draining
                            ? random.nextLong(MAX_UPDATE_DELAY_NANOS)
                            : random.between(timeout / 3, timeout);
            later(wait, () -> remove(uid, server));
        }
    }

    private void later(long wait, Runnable what) {
        day.after(wait, () -> ensemble.whenUp(what));
    }

    private void put(String uid, Server server) {
        if (!server.stopped && servers.get(uid) == server && server.unreachableSince < 0) {
            ensemble.put(uid, server.life, server.bornAt, data(uid, server));
        }
    }

    private NodeData data(String uid, Server server) {
        Machine machine = fleet.ofServer(uid);
        long started =
                !publishesStart.get(uid)
                        ? 0
                        : server.bornAt == 0
                                ? Site.EPOCH_MILLIS - AGE_BEFORE_DAY_MILLIS
                                : Site.EPOCH_MILLIS + server.bornAt / Site.MS;
        return new NodeData(
                machine.address(),
                machine.zone(),
                0,
                machine.zone(),
                server.draining ? HostState.DRAINING : HostState.READY,
                1,
                started,
                null);
    }

    /** Removes the node of an ended session, unless a later process owns it. */
    private void remove(String uid, Server server) {
        Znode node = ensemble.node(uid);
        if (node != null
                && node.life() == server.life
                && (server.stopped || servers.get(uid) == server)) {
            ensemble.remove(uid);
        }
    }

    /** Ends the sessions of unreachable machines, and starts new ones when they are back. */
    private void checkSessions() {
        for (Machine each : fleet.machines()) {
            Server server = each.server() == null ? null : servers.get(each.server().uid());
            if (server != null && !server.stopped) {
                checkSession(each.server().uid(), server, each.host().isIsolated());
            }
        }
        day.after(SESSION_CHECK_INTERVAL_NANOS, this::checkSessions);
    }

    private void checkSession(String uid, Server server, boolean unreachable) {
        if (unreachable && server.unreachableSince < 0) {
            server.unreachableSince = day.now();
        } else if (unreachable && day.now() - server.unreachableSince >= ensemble.timeout()) {
            ensemble.whenUp(() -> remove(uid, server));
        } else if (!unreachable && server.unreachableSince >= 0) {
            server.unreachableSince = -1;
            later(
                    random.nextLong(MAX_REGISTRATION_DELAY_NANOS),
                    () -> {
                        if (ensemble.node(uid) == null) {
                            put(uid, server);
                        }
                    });
        }
    }

    // ---- faults

    /** Removes and recreates a node several times while its process keeps running. */
    void flap(String uid, int times, long interval) {
        Server server = servers.get(uid);
        if (server == null || server.stopped || times <= 0 || ensemble.isDown()) {
            return;
        }
        remove(uid, server);
        later(
                interval,
                () -> {
                    put(uid, server);
                    if (day.faultsMayOccur()) {
                        later(interval, () -> flap(uid, times - 1, interval));
                    }
                });
    }

    /** Makes the data of a node unreadable for a while. */
    void garble(String uid, long duration) {
        Server server = servers.get(uid);
        if (server != null && !server.stopped && ensemble.node(uid) != null && !ensemble.isDown()) {
            ensemble.put(uid, server.life, server.bornAt, null);
            later(duration, () -> put(uid, server));
        }
    }

    /** Registers all servers again after the ensemble lost its data, each within this time. */
    void reregister(long within) {
        servers.forEach(
                (uid, server) ->
                        later(
                                1 + random.nextLong(Math.max(1, within)),
                                () -> {
                                    if (ensemble.node(uid) == null) {
                                        put(uid, server);
                                    }
                                }));
    }
}
