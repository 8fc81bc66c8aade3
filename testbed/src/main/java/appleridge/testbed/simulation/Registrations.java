package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.loadbalancing.HostState;
import appleridge.testbed.simnet.SeededRandom;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Each order server's node: made some time after it listens, marked when it drains, gone with it at
 * an orderly end, and when its session's time is out after any other one.
 */
final class Registrations {
    /** One life of a server. */
    private static final class Server {
        private final int life;
        private final long bornAt;
        private boolean drains;
        private boolean ended;
        private long silentSince = -1;

        Server(int life, long bornAt) {
            this.life = life;
            this.bornAt = bornAt;
        }
    }

    private static final long LONGEST_BOOT = 500 * Site.MS;
    private static final long LONGEST_WORD = 40 * Site.MS;
    private static final long LOOK = 250 * Site.MS;
    private static final long LONG_AGO_MILLIS = 3_600_000;
    private static final double NAMES_START = 0.85;

    private final Day day;
    private final Ensemble ensemble;
    private final Fleet fleet;
    private final SeededRandom chance;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Boolean> namesStart = new LinkedHashMap<>();

    Registrations(Day day, Ensemble ensemble, Fleet fleet) {
        this.day = day;
        this.ensemble = ensemble;
        this.fleet = fleet;
        this.chance = day.work("registrations");
        day.after(LOOK, this::look);
    }

    /** The truth about a server. */
    void serverState(String uid, int life, String state, long bornAt) {
        if (state.equals(Instances.READY)) {
            Server server = new Server(life, bornAt);
            servers.put(uid, server);
            // Beside a registry a start that isn't named can't be told from a later one.
            namesStart.put(uid, chance.hits(NAMES_START) || ensemble.isBoth());
            if (bornAt == 0) {
                put(uid, server);
            } else {
                soon(chance.nextLong(LONGEST_BOOT), () -> put(uid, server));
            }
            return;
        }
        Server server = servers.get(uid);
        if (server == null || server.life != life) {
            return;
        }
        if (state.equals(Instances.TERMINATING)) {
            server.drains = true;
            soon(
                    chance.nextLong(LONGEST_WORD),
                    () -> {
                        if (ensemble.node(uid) != null) {
                            put(uid, server);
                        }
                    });
        } else {
            server.ended = true;
            long timeout = ensemble.timeout();
            long wait =
                    server.drains
                            ? chance.nextLong(LONGEST_WORD)
                            : chance.between(timeout / 3, timeout);
            soon(wait, () -> remove(uid, server));
        }
    }

    private void soon(long wait, Runnable what) {
        day.after(wait, () -> ensemble.whenUp(what));
    }

    private void put(String uid, Server server) {
        if (!server.ended && servers.get(uid) == server && server.silentSince < 0) {
            ensemble.put(uid, server.life, server.bornAt, data(uid, server));
        }
    }

    private NodeData data(String uid, Server server) {
        Machine machine = fleet.ofServer(uid);
        long started =
                !namesStart.get(uid)
                        ? 0
                        : server.bornAt == 0
                                ? Site.EPOCH_MILLIS - LONG_AGO_MILLIS
                                : Site.EPOCH_MILLIS + server.bornAt / Site.MS;
        return new NodeData(
                machine.address(),
                machine.zone(),
                0,
                machine.zone(),
                server.drains ? HostState.DRAINING : HostState.READY,
                1,
                started,
                null);
    }

    /** A session is over: its node is gone, if it is its node still. */
    private void remove(String uid, Server server) {
        Znode node = ensemble.node(uid);
        if (node != null
                && node.life() == server.life
                && (server.ended || servers.get(uid) == server)) {
            ensemble.remove(uid);
        }
    }

    /** Machines that say nothing lose their sessions, and have new ones when they are back. */
    private void look() {
        for (Machine each : fleet.machines()) {
            Server server = each.server() == null ? null : servers.get(each.server().uid());
            if (server != null && !server.ended) {
                look(each.server().uid(), server, each.host().isVanished());
            }
        }
        day.after(LOOK, this::look);
    }

    private void look(String uid, Server server, boolean silent) {
        if (silent && server.silentSince < 0) {
            server.silentSince = day.now();
        } else if (silent && day.now() - server.silentSince >= ensemble.timeout()) {
            ensemble.whenUp(() -> remove(uid, server));
        } else if (!silent && server.silentSince >= 0) {
            server.silentSince = -1;
            soon(
                    chance.nextLong(LONGEST_BOOT),
                    () -> {
                        if (ensemble.node(uid) == null) {
                            put(uid, server);
                        }
                    });
        }
    }

    // ---- troubles

    /** Its session goes and comes, and its process has nothing to do with that. */
    void flap(String uid, int times, long apart) {
        Server server = servers.get(uid);
        if (server == null || server.ended || times <= 0 || ensemble.isDown()) {
            return;
        }
        remove(uid, server);
        soon(
                apart,
                () -> {
                    put(uid, server);
                    if (day.faultsMayOccur()) {
                        soon(apart, () -> flap(uid, times - 1, apart));
                    }
                });
    }

    /** Its node can't be read for so long. */
    void garble(String uid, long duration) {
        Server server = servers.get(uid);
        if (server != null && !server.ended && ensemble.node(uid) != null && !ensemble.isDown()) {
            ensemble.put(uid, server.life, server.bornAt, null);
            soon(duration, () -> put(uid, server));
        }
    }

    /** The ensemble has lost everything: each finds out some time within this. */
    void again(long within) {
        servers.forEach(
                (uid, server) ->
                        soon(
                                1 + chance.nextLong(Math.max(1, within)),
                                () -> {
                                    if (ensemble.node(uid) == null) {
                                        put(uid, server);
                                    }
                                }));
    }
}
