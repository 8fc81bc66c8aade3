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
 * One simulated day: real sidecars in a simulated world of clients, order servers and discovery.
 * The plan determines all of it. An instance runs one day, in the thread that calls {@link #run}.
 */
public final class World {

    /** Creates the host that controls the processes of one sidecar. */
    public interface SidecarHostFactory {

        /** {@code evidence}: the listener for events of the load balancing module in it. */
        SidecarHost create(String name, World world, DayListener evidence);
    }

    /** Creates the listener that observes the day, such as the invariants. */
    public interface DayListenerFactory {

        /**
         * Called once, before anything happens.
         *
         * @param states the state of each request; receives every event before the new listener
         * @param zoneOf the zone of an order server
         */
        DayListener create(World world, RequestStates states, UnaryOperator<String> zoneOf);
    }

    /** File descriptor limit of all hosts but the sidecars. */
    private static final int MAX_DESCRIPTORS = 20_000;

    private static final int DISCOVERY_ADDRESSES = 4;

    /** By this much versions start lower after each move of discovery, as after a data loss. */
    private static final long VERSION_STEP = 1000;

    /** Clients start when all sidecars are ready, but no later than this. */
    private static final long MAX_CLIENT_START_NANOS = 3 * Site.SECOND;

    /** From the last request's deadline until clients close their connections. */
    private static final long CLIENT_CLOSE_DELAY_NANOS = 500 * Site.MS;

    private final Plan plan;
    private final Simulation simulation;
    private final Network network;
    private final RequestStates states = new RequestStates();
    private final Day day;
    private final ProcessSlots slots = new ProcessSlots();
    private final CoordinationService nodes = new CoordinationService();
    private final Fleet fleet;
    private final Links links;
    private final Discovery discovery;
    private final List<Application> applications = new ArrayList<>();
    private final List<Traffic> traffic = new ArrayList<>();
    private boolean clientsStarted;

    /** Creates the world as it is before the day begins. */
    public World(Plan plan, SidecarHostFactory sidecars, DayListenerFactory listenerFactory) {
        this.plan = plan;
        SeededRandom random = new SeededRandom(plan.seed());
        simulation = new Simulation(random.stream("ties"));
        network = new Network(simulation, random.stream("network"));
        network.tap(states);
        FaultOverlaps overlaps = new FaultOverlaps(states);
        DayListener evidence =
                new DayListenerFanOut(
                        List.of(
                                overlaps,
                                states,
                                new TraceRecorder(simulation),
                                nodes,
                                listenerFactory.create(this, states, this::zoneOf)));
        day = new Day(plan, simulation, network, evidence, random);
        overlaps.begin(day);
        evidence.discoverySources(
                plan.count(ScenarioParameter.MEMBERSHIP) != 1,
                plan.count(ScenarioParameter.MEMBERSHIP) > 0);
        if (plan.count(ScenarioParameter.LISTS_PUSHED) > 0) {
            evidence.listsPushed();
        }
        Instances instances = new Instances(day);
        DeliveredEndpointUpdates delivered = new DeliveredEndpointUpdates(evidence);
        fleet = new Fleet(plan, instances);
        if (plan.count(ScenarioParameter.MEMBERSHIP) > 0) {
            nodes.begin(day, fleet);
        }
        links = new Links(day);
        discovery = new Discovery(registries(instances, delivered), slots);
        network.tap(
                new RegistryTap(
                        network,
                        slots,
                        discovery.addresses().stream().map(Registry::host).toList(),
                        evidence));
        addMachines();
        addSidecars(sidecars, instances, delivered);
        BadClients badClients = new BadClients(day, applications);
        createLinks(badClients);
        FaultInjector injector =
                new FaultInjector(
                        day,
                        new ConnectionFaultInjector(day, applications, states),
                        new ServerFaultInjector(day, fleet, slots, links, overlaps),
                        new ListFaultInjector(day, discovery, slots),
                        new SidecarFaultInjector(
                                day, slots, fleet, discovery, links, traffic, badClients, overlaps),
                        nodes.faultInjector(day, fleet, slots));
        new StateTriggers(day, injector, states).install(plan.faults());
        for (Fault each : plan.faults()) {
            if (!each.trigger().waitsForRequest()) {
                simulation.at(each.trigger().at(), () -> injector.inject(each, null));
            }
        }
    }

    private List<Registry> registries(Instances instances, DeliveredEndpointUpdates delivered) {
        List<Registry> registries = new ArrayList<>();
        for (int i = 0; i < DISCOVERY_ADDRESSES; i++) {
            Host host = network.host("discovery" + i, Site.address(4, 0, 1 + i), MAX_DESCRIPTORS);
            registries.add(
                    new Registry(
                            day,
                            instances,
                            delivered,
                            host,
                            i,
                            (DISCOVERY_ADDRESSES - i) * VERSION_STEP));
        }
        return registries;
    }

    private void addMachines() {
        for (int i = 0; i < plan.count(ScenarioParameter.SERVERS); i++) {
            int zone = i % Site.ZONES.size();
            String name = "s" + i;
            Host host = network.host(name, Site.address(3, zone, 1 + i), MAX_DESCRIPTORS);
            fleet.machines().add(new Machine(day, fleet, name, zone, host));
        }
    }

    private void addSidecars(
            SidecarHostFactory sidecars, Instances instances, DeliveredEndpointUpdates delivered) {
        int count = plan.count(ScenarioParameter.SIDECARS);
        long[] meanWork = meanWork();
        double[] shares = shares(count);
        for (int i = 0; i < count; i++) {
            String name = "n" + i;
            Host host =
                    network.host(
                            name, Site.address(1, 0, 1 + i), plan.count(ScenarioParameter.SOCKETS));
            states.registerSidecar(name, name);
            ProcessSlot slot =
                    new ProcessSlot(
                            day,
                            slots,
                            name,
                            i,
                            host,
                            sidecars.create(name, this, day.evidence),
                            delivered,
                            instances);
            slots.all().add(slot);
        }
        for (int i = 0; i < count; i++) {
            Host host = network.host("app" + i, Site.address(2, 0, 1 + i), MAX_DESCRIPTORS);
            slots.all().get(i).setReadinessProbe(new ReadinessProbe(day, host, slots.all().get(i)));
            Application application = new Application(day, i, host, slots, meanWork);
            applications.add(application);
            traffic.add(
                    new Traffic(
                            day, application, i, plan.part(ScenarioParameter.RATE) * shares[i]));
        }
    }

    /** Draws the mean work in nanoseconds of each request class on this day. */
    private long[] meanWork() {
        SeededRandom random = day.work("works");
        long[] meanWork = new long[RequestClasses.ALL.size()];
        for (int i = 0; i < meanWork.length; i++) {
            RequestClasses.Definition kind = RequestClasses.of(i);
            meanWork[i] =
                    (long)
                            (random.between(kind.leastWork(), kind.mostWork())
                                    * plan.part(ScenarioParameter.WORK));
        }
        return meanWork;
    }

    /** Draws the share of the traffic for each sidecar; a random one has the largest. */
    private double[] shares(int count) {
        SeededRandom random = day.work("shares");
        double[] shares = new double[count];
        double sum = 0;
        double share = 1;
        int first = random.nextInt(count);
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

    private void createLinks(BadClients badClients) {
        for (ProcessSlot slot : slots.all()) {
            applications.forEach(each -> links.connectLocal(each.host(), slot.host()));
            badClients.hosts().forEach(each -> links.connectLocal(each, slot.host()));
            badClients.limitBuffers(slot);
            fleet.machines()
                    .forEach(
                            each ->
                                    links.connect(
                                            slot.host(), each.host(), slot.zone() == each.zone()));
            discovery
                    .addresses()
                    .forEach(
                            each ->
                                    links.connect(
                                            slot.host(),
                                            each.host(),
                                            slot.zone() == Registry.ZONE));
        }
    }

    /** Runs the whole day. */
    public void run() {
        begin();
        simulation.runUntil(plan.end());
        day.evidence.dayEnded();
    }

    /** Starts all processes; the day proceeds with the steps of the simulation. */
    public void begin() {
        startServers();
        discovery.registry().listen();
        slots.onReady(
                () -> {
                    if (slots.all().stream().allMatch(ProcessSlot::isUsable)) {
                        startClients();
                    }
                });
        slots.all().forEach(slot -> slot.start(discovery.registry()));
        day.after(MAX_CLIENT_START_NANOS, this::startClients);
        simulation.at(
                plan.quietFrom()
                        + plan.size(ScenarioParameter.LONGEST_DEADLINE)
                        + CLIENT_CLOSE_DELAY_NANOS,
                () -> applications.forEach(Application::closeAll));
        simulation.at(
                plan.faultsEnd(),
                () -> {
                    links.stopLosses();
                    day.evidence.lastFaultEnded();
                });
    }

    /**
     * Starts the order servers. Before the day a server existed that is gone by now, and the last
     * machine did not exist yet.
     */
    private void startServers() {
        Instances instances = fleet.instances();
        List<Machine> machines = fleet.machines();
        InetSocketAddress removedAddress =
                new InetSocketAddress(machines.get(0).host().address(), Site.SERVER_PORT + 1);
        Instances.Entry removed =
                new Instances.Entry("old.0", 0, removedAddress, 0, Instances.READY, 0);
        instances.addInitial(removed);
        machines.subList(0, machines.size() - 1).forEach(machine -> machine.begin(states));
        instances.endHistory();
        instances.addInitial(removed.withState(Instances.GONE));
        machines.get(machines.size() - 1).begin(states);
    }

    private void startClients() {
        if (!clientsStarted) {
            clientsStarted = true;
            traffic.forEach(Traffic::begin);
        }
    }

    private String zoneOf(String server) {
        Machine machine = fleet.ofServer(server);
        return machine == null ? "" : Site.ZONES.get(machine.zone());
    }

    // ---- access for runners and listeners

    /** The plan of the day. */
    public Plan plan() {
        return plan;
    }

    /** The simulation, which has the clock of the day. */
    public Simulation simulation() {
        return simulation;
    }

    /** All hosts and their connections. */
    public Network network() {
        return network;
    }

    /** Counts the client connections that a sidecar has accepted and not closed. */
    public int openClientConnections(String sidecar) {
        int clients = 0;
        for (SimSocket each : network.sockets(sidecarHost(sidecar))) {
            clients += each.isServerEnd() ? 1 : 0;
        }
        return clients;
    }

    /** Counts a sidecar's connections to order servers that are connecting or open. */
    public int openUpstreamConnections(String sidecar) {
        int upstreams = 0;
        for (SimSocket each : network.sockets(sidecarHost(sidecar))) {
            boolean discovery =
                    this.discovery.addresses().stream()
                            .anyMatch(registry -> registry.host() == each.peerHost());
            upstreams += each.isServerEnd() || discovery ? 0 : 1;
        }
        return upstreams;
    }

    /** The coordination service; null on a day without one. */
    public Ensemble ensemble() {
        return nodes.ensemble();
    }

    /** The host of a sidecar's processes; null if there is no sidecar of that name. */
    public Host sidecarHost(String name) {
        ProcessSlot slot = slots.slot(name);
        return slot == null ? null : slot.host();
    }
}
