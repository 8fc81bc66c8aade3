package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import java.net.InetSocketAddress;

/** A machine on which one order server at a time runs; what comes after it has its address. */
final class Machine {
    /** What a server that has ended in order leaves to its connections, to be read. */
    private static final long LINGER = 100 * Site.MS;

    private final Day day;
    private final Fleet fleet;
    private final String name;
    private final int zone;
    private final Host host;
    private final InetSocketAddress address;
    private final SeededRandom chance;
    private RequestStates states;
    private OrderServer server;
    private int uids;

    /** Whether something is under way that ends with a server's being there again. */
    private boolean changing;

    Machine(Day day, Fleet fleet, String name, int zone, Host host) {
        this.day = day;
        this.fleet = fleet;
        this.name = name;
        this.zone = zone;
        this.host = host;
        this.address = new InetSocketAddress(host.address(), Site.SERVER_PORT);
        this.chance = day.work("server." + name);
    }

    String name() {
        return name;
    }

    int zone() {
        return zone;
    }

    Host host() {
        return host;
    }

    InetSocketAddress address() {
        return address;
    }

    /** The one that runs; null while there is none. */
    OrderServer server() {
        return server;
    }

    /** The server that has been there for long when the day begins. */
    void begin(RequestStates watchers) {
        states = watchers;
        boot(name + ".0", 0, 0);
        fleet.instances().begins(entry(Instances.READY));
    }

    private void boot(String uid, int life, long bornAt) {
        server = new OrderServer(day, fleet, this, uid, life, bornAt, chance);
        server.listen();
        states.registerServer(name, uid);
        day.evidence.serverState(uid, life, Instances.READY, bornAt);
    }

    private Instances.Entry entry(String state) {
        return new Instances.Entry(
                server.uid(), server.life(), address, zone, state, server.bornAt());
    }

    /** Ends in order, and a new one comes under a new id; discovery knows of it after so long. */
    void drain(long down, long notice) {
        if (server == null || changing) {
            return;
        }
        changing = true;
        OrderServer leaving = server;
        day.evidence.serverState(
                leaving.uid(), leaving.life(), Instances.TERMINATING, leaving.bornAt());
        fleet.instances().change(entry(Instances.TERMINATING), notice);
        leaving.drain(
                () ->
                        day.after(
                                LINGER,
                                () -> {
                                    if (server == leaving) {
                                        end(day.plan.size(ScenarioParameter.NOTICE));
                                        follow(name + "." + ++uids, 0, down);
                                    }
                                }));
    }

    /** Dies at once; another comes under this id, or under a new one. */
    void crash(long down, boolean sameId) {
        if (server == null || changing && !server.isDraining()) {
            return;
        }
        changing = true;
        String uid = sameId ? server.uid() : name + "." + ++uids;
        int life = sameId ? server.life() + 1 : 0;
        end(day.plan.size(ScenarioParameter.SILENT_NOTICE));
        follow(uid, life, down);
    }

    /**
     * It has fallen over and stays down; people see to another one when the day's faults are over.
     */
    void fell() {
        changing = true;
        end(day.plan.size(ScenarioParameter.SILENT_NOTICE));
        day.simulation.at(day.plan.faultsEnd(), () -> follow(name + "." + ++uids, 0, 0));
    }

    private void end(long notice) {
        OrderServer ended = server;
        fleet.instances().change(entry(Instances.GONE), notice);
        day.evidence.serverState(ended.uid(), ended.life(), Instances.GONE, ended.bornAt());
        server = null;
        ended.stop();
        host.die();
    }

    private void follow(String uid, int life, long down) {
        day.after(
                day.bounded(down),
                () -> {
                    boot(uid, life, Math.max(1, day.now()));
                    fleet.instances()
                            .change(
                                    entry(Instances.READY),
                                    day.plan.size(ScenarioParameter.ADD_NOTICE));
                    changing = false;
                });
    }

    /** Says nothing for a while; discovery sees that late, and its return. */
    void vanish(long duration) {
        if (server == null || changing || host.isVanished()) {
            return;
        }
        host.vanish();
        long away = day.bounded(duration);
        OrderServer hidden = server;
        long notice = day.plan.size(ScenarioParameter.SILENT_NOTICE);
        boolean seen = away > notice;
        if (seen) {
            fleet.instances().change(entry(Instances.GONE), notice);
        }
        day.after(
                away,
                () -> {
                    host.reappear();
                    if (seen && server == hidden && !hidden.isDraining()) {
                        fleet.instances()
                                .change(
                                        entry(Instances.READY),
                                        day.plan.size(ScenarioParameter.ADD_NOTICE));
                    }
                });
    }
}
