package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.SeededRandom;
import java.net.InetSocketAddress;

/** A machine that runs one order server at a time; its successors use the same address. */
final class Machine {

    /** How long a drained server stays up, so that clients can read what it has written. */
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
    private int successors;

    /** Whether a change is in progress that ends with a server running again. */
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

    /** The running server; null while there is none. */
    OrderServer server() {
        return server;
    }

    /** Starts the server that has been running since long before the day. */
    void begin(RequestStates requestStates) {
        states = requestStates;
        boot(name + ".0", 0, 0);
        fleet.instances().addInitial(entry(Instances.READY));
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

    /**
     * Drains the server; when it has ended, a new one with a new uid starts.
     *
     * @param down nanoseconds without a server
     * @param notice nanoseconds until discovery publishes that the server is draining
     */
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
                                        startSuccessor(name + "." + ++successors, 0, down);
                                    }
                                }));
    }

    /** Crashes the server; another one starts with the same uid or a new one. */
    void crash(long down, boolean sameId) {
        if (server == null || changing && !server.isDraining()) {
            return;
        }
        changing = true;
        String uid = sameId ? server.uid() : name + "." + ++successors;
        int life = sameId ? server.life() + 1 : 0;
        end(day.plan.size(ScenarioParameter.SILENT_NOTICE));
        startSuccessor(uid, life, down);
    }

    /**
     * The server has collapsed under load and stays down. A new one starts only when the day's
     * faults are over, as if operators had replaced it.
     */
    void failPermanently() {
        changing = true;
        end(day.plan.size(ScenarioParameter.SILENT_NOTICE));
        day.simulation.at(
                day.plan.faultsEnd(), () -> startSuccessor(name + "." + ++successors, 0, 0));
    }

    private void end(long notice) {
        OrderServer ended = server;
        fleet.instances().change(entry(Instances.GONE), notice);
        day.evidence.serverState(ended.uid(), ended.life(), Instances.GONE, ended.bornAt());
        server = null;
        ended.stop();
        host.die();
    }

    private void startSuccessor(String uid, int life, long down) {
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

    /**
     * The machine sends nothing for a while. Discovery removes the server after the notice time, if
     * it is still away, and adds it again after its return.
     */
    void isolate(long duration) {
        if (server == null || changing || host.isIsolated()) {
            return;
        }
        host.isolate();
        long away = day.bounded(duration);
        OrderServer hidden = server;
        long notice = day.plan.size(ScenarioParameter.SILENT_NOTICE);
        boolean noticed = away > notice;
        if (noticed) {
            fleet.instances().change(entry(Instances.GONE), notice);
        }
        day.after(
                away,
                () -> {
                    host.reconnect();
                    if (noticed && server == hidden && !hidden.isDraining()) {
                        fleet.instances()
                                .change(
                                        entry(Instances.READY),
                                        day.plan.size(ScenarioParameter.ADD_NOTICE));
                    }
                });
    }
}
