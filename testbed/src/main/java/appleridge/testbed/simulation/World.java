package appleridge.testbed.simulation;

import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.invariants.DayListenerFanOut;
import appleridge.testbed.invariants.RequestStates;
import appleridge.testbed.simnet.Host;
import appleridge.testbed.simnet.Network;
import appleridge.testbed.simnet.SeededRandom;
import appleridge.testbed.simnet.SimSocket;
import appleridge.testbed.simnet.Simulation;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * One day: real sidecars in a simulated world of clients, order servers and discovery. Everything
 * in it is made for the plan, and nothing outlives it.
 */
public final class World {
    /** Makes what handles the processes of one sidecar. */
    public interface Sidecars {
        /** {@code evidence}: for what the module in it says. */
        SidecarHost of(String name, World world, DayListener evidence);
    }

    /** Makes who watches the day. */
    public interface Watch {
        /**
         * Called once, before anything happens.
         *
         * @param states the state of each request; told of everything ahead of the watch
         * @param zoneOf the zone of an order server
         */
        DayListener of(World world, RequestStates states, UnaryOperator<String> zoneOf);
    }

    private static final int DESCRIPTORS = 20_000;
    private static final int DISCOVERY_ADDRESSES = 4;

    /** With each move its versions begin lower, as those of one that begins anew. */
    private static final long VERSIONS_APART = 1000;

    /** Clients come when all sidecars are ready, or after this. */
    private static final long CLIENTS_COME = 3 * Site.SECOND;

    /** From the last request's deadline until all clients have closed their connections. */
    private static final long LAST_ANSWERS = 500 * Site.MS;

    private final Plan plan;
    private final Simulation simulation;
    private final Network network;
    private final RequestStates states = new RequestStates();
    private final Day day;
    private final ProcessSlots seats = new ProcessSlots();
    private final Nodes nodes = new Nodes();
    private final Fleet fleet;
    private final Links links;
    private final Discovery discovery;
    private final List<Application> applications = new ArrayList<>();
    private final List<Traffic> traffic = new ArrayList<>();
    private boolean clientsCame;

    /** Makes the world as it is when the day begins. */
    public World(Plan plan, Sidecars sidecars, Watch watch) {
        this.plan = plan;
        SeededRandom chance = new SeededRandom(plan.seed());
        simulation = new Simulation(chance.stream("ties"));
        network = new Network(simulation, chance.stream("network"));
        network.tap(states);
        FaultOverlaps meetings = new FaultOverlaps(states);
        DayListener evidence =
                new DayListenerFanOut(
                        List.of(
                                meetings,
                                states,
                                new NarratedLog(simulation),
                                nodes,
                                watch.of(this, states, this::zoneOf)));
        day = new Day(plan, simulation, network, evidence, chance);
        meetings.begin(day);
        evidence.discoverySources(
                plan.count(ScenarioParameter.MEMBERSHIP) != 1,
                plan.count(ScenarioParameter.MEMBERSHIP) > 0);
        Instances instances = new Instances(day);
        DeliveredEndpointUpdates told = new DeliveredEndpointUpdates(evidence);
        fleet = new Fleet(plan, instances);
        if (plan.count(ScenarioParameter.MEMBERSHIP) > 0) {
            nodes.begin(day, fleet);
        }
        links = new Links(day);
        discovery = new Discovery(registries(instances, told), seats);
        network.tap(
                new RegistryTap(
                        network,
                        seats,
                        discovery.addresses().stream().map(Registry::host).toList(),
                        evidence));
        addMachines();
        addSeats(sidecars, instances, told);
        BadClients badClients = new BadClients(day, applications);
        join(badClients);
        FaultInjector strikes =
                new FaultInjector(
                        day,
                        new ConnectionFaultInjector(day, applications, states),
                        new ServerFaultInjector(day, fleet, seats, links, meetings),
                        new ListFaultInjector(day, discovery, seats),
                        new SidecarFaultInjector(
                                day, seats, fleet, discovery, links, traffic, badClients, meetings),
                        nodes.strikes(day, fleet, seats));
        new StateTriggers(day, strikes, states).set(plan.faults());
        for (Fault each : plan.faults()) {
            if (!each.trigger().trap()) {
                simulation.at(each.trigger().at(), () -> strikes.strike(each, null));
            }
        }
    }

    private List<Registry> registries(Instances instances, DeliveredEndpointUpdates told) {
        List<Registry> registries = new ArrayList<>();
        for (int i = 0; i < DISCOVERY_ADDRESSES; i++) {
            Host host = network.host("discovery" + i, Site.address(4, 0, 1 + i), DESCRIPTORS);
            registries.add(
                    new Registry(
                            day,
                            instances,
                            told,
                            host,
                            i,
                            (DISCOVERY_ADDRESSES - i) * VERSIONS_APART));
        }
        return registries;
    }

    private void addMachines() {
        for (int i = 0; i < plan.count(ScenarioParameter.SERVERS); i++) {
            int zone = i % Site.ZONES.size();
            String name = "s" + i;
            Host host = network.host(name, Site.address(3, zone, 1 + i), DESCRIPTORS);
            fleet.machines().add(new Machine(day, fleet, name, zone, host));
        }
    }

    private void addSeats(Sidecars sidecars, Instances instances, DeliveredEndpointUpdates told) {
        int count = plan.count(ScenarioParameter.SIDECARS);
        long[] works = works();
        double[] shares = shares(count);
        for (int i = 0; i < count; i++) {
            String name = "n" + i;
            Host host =
                    network.host(
                            name, Site.address(1, 0, 1 + i), plan.count(ScenarioParameter.SOCKETS));
            states.registerSidecar(name, name);
            ProcessSlot seat =
                    new ProcessSlot(
                            day,
                            seats,
                            name,
                            i,
                            host,
                            sidecars.of(name, this, day.evidence),
                            told,
                            instances);
            seats.all().add(seat);
        }
        for (int i = 0; i < count; i++) {
            Host host = network.host("app" + i, Site.address(2, 0, 1 + i), DESCRIPTORS);
            seats.all().get(i).readiness(new Readiness(day, host, seats.all().get(i)));
            Application application = new Application(day, i, host, seats, works);
            applications.add(application);
            traffic.add(
                    new Traffic(
                            day, application, i, plan.part(ScenarioParameter.RATE) * shares[i]));
        }
    }

    /** The mean work of each class on this day. */
    private long[] works() {
        SeededRandom chance = day.work("works");
        long[] works = new long[Classes.ALL.size()];
        for (int i = 0; i < works.length; i++) {
            Classes.Kind kind = Classes.of(i);
            works[i] =
                    (long)
                            (chance.between(kind.leastWork(), kind.mostWork())
                                    * plan.part(ScenarioParameter.WORK));
        }
        return works;
    }

    /**
     * Which part of the traffic comes to each sidecar; the first one named need not have the most.
     */
    private double[] shares(int count) {
        SeededRandom chance = day.work("shares");
        double[] shares = new double[count];
        double sum = 0;
        double share = 1;
        int first = chance.nextInt(count);
        for (int i = 0; i < count; i++) {
            shares[(first + i) % count] = share;
            sum += share;
            share *= plan.part(ScenarioParameter.UNEVEN);
        }
        for (int i = 0; i < count; i++) {
            shares[i] /= sum;
        }
        return shares;
    }

    private void join(BadClients badClients) {
        for (ProcessSlot seat : seats.all()) {
            applications.forEach(each -> links.home(each.host(), seat.host()));
            badClients.hosts().forEach(each -> links.home(each, seat.host()));
            badClients.narrow(seat);
            fleet.machines()
                    .forEach(
                            each ->
                                    links.join(
                                            seat.host(), each.host(), seat.zone() == each.zone()));
            discovery
                    .addresses()
                    .forEach(
                            each ->
                                    links.join(
                                            seat.host(),
                                            each.host(),
                                            seat.zone() == Registry.ZONE));
        }
    }

    /** Runs the whole day. */
    public void run() {
        begin();
        simulation.runUntil(plan.end());
        day.evidence.dayEnded();
    }

    /** All processes begin; the day goes on with the simulation's steps. */
    public void begin() {
        beginFleet();
        discovery.registry().listen();
        seats.onReady(
                () -> {
                    if (seats.all().stream().allMatch(ProcessSlot::isUsable)) {
                        clientsCome();
                    }
                });
        seats.all().forEach(seat -> seat.start(discovery.registry()));
        day.after(CLIENTS_COME, this::clientsCome);
        simulation.at(
                plan.quietFrom() + plan.size(ScenarioParameter.LONGEST_DEADLINE) + LAST_ANSWERS,
                () -> applications.forEach(Application::goHome));
        simulation.at(
                plan.faultsEnd(),
                () -> {
                    links.calm();
                    day.evidence.lastFaultEnded();
                });
    }

    /** Long before the day there was a server that is gone, and the last machine was not there. */
    private void beginFleet() {
        Instances instances = fleet.instances();
        List<Machine> machines = fleet.machines();
        InetSocketAddress past =
                new InetSocketAddress(machines.get(0).host().address(), Site.SERVER_PORT + 1);
        Instances.Entry old = new Instances.Entry("old.0", 0, past, 0, Instances.READY, 0);
        instances.begins(old);
        machines.subList(0, machines.size() - 1).forEach(machine -> machine.begin(states));
        instances.pastEnds();
        instances.begins(old.in(Instances.GONE));
        machines.get(machines.size() - 1).begin(states);
    }

    private void clientsCome() {
        if (!clientsCame) {
            clientsCame = true;
            traffic.forEach(Traffic::begin);
        }
    }

    private String zoneOf(String server) {
        Machine machine = fleet.ofServer(server);
        return machine == null ? "" : Site.ZONES.get(machine.zone());
    }

    // ---- for those who run and watch it

    /** What is planned. */
    public Plan plan() {
        return plan;
    }

    /** The time of the day. */
    public Simulation simulation() {
        return simulation;
    }

    /** All hosts and their connections. */
    public Network network() {
        return network;
    }

    /** Connections that a sidecar's process has accepted and not closed. */
    public int clientsOf(String sidecar) {
        int clients = 0;
        for (SimSocket each : network.sockets(sidecarHost(sidecar))) {
            clients += each.isServerEnd() ? 1 : 0;
        }
        return clients;
    }

    /** Connections to servers that it opens, or has opened and not closed. */
    public int upstreamsOf(String sidecar) {
        int upstreams = 0;
        for (SimSocket each : network.sockets(sidecarHost(sidecar))) {
            boolean discovery =
                    this.discovery.addresses().stream()
                            .anyMatch(registry -> registry.host() == each.peerHost());
            upstreams += each.isServerEnd() || discovery ? 0 : 1;
        }
        return upstreams;
    }

    /** The coordination service; null on a day without. */
    public Ensemble ensemble() {
        return nodes.ensemble();
    }

    /** Where a sidecar's processes run; null if there is none of that name. */
    public Host sidecarHost(String name) {
        ProcessSlot seat = seats.seat(name);
        return seat == null ? null : seat.host();
    }
}
