package appleridge.testbed.demo;

import appleridge.testbed.standin.BadClients;
import appleridge.testbed.standin.ColdStart;
import appleridge.testbed.standin.LoopbackClients;
import appleridge.testbed.standin.LoopbackRegistry;
import appleridge.testbed.standin.LoopbackRegistry.State;
import appleridge.testbed.standin.LoopbackServer;
import appleridge.testbed.standin.RealTime;
import appleridge.testbed.standin.RepeatMemory;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Order servers in three zones, discovery and clients, all on one event loop. Not thread-safe. */
final class Site {
    static final List<String> ZONES = List.of("ebene", "port-louis", "rose-belle");
    private static final int SERVER_COUNT = 6;
    private static final int CLIENT_COUNT = 36;
    private static final int QUEUE_LENGTH = 48;
    private static final double IMPATIENT_SHARE = 0.005;

    /** Nanoseconds within which a bad client must receive an error or a close. */
    private static final long BAD_CLIENT_LIMIT_NANOS =
            TimeUnit.SECONDS.toNanos(3) + Verdict.TOLERANCE;

    final EventLoop loop;
    final RealTime time = new RealTime();
    final SiteLog log = new SiteLog();
    final LoopbackRegistry registry;

    /** The running servers, in the order in which they became ready. */
    final List<LoopbackServer> servers = new ArrayList<>();

    private final SplittableRandom random;
    private final RepeatMemory memory = new RepeatMemory(0);
    LoopbackClients clients;
    BadClients badClients;
    private int started;
    private int turn;

    Site(EventLoop loop, long seed) {
        this.loop = loop;
        this.random = new SplittableRandom(seed);
        this.turn = random.nextInt(SERVER_COUNT);
        this.registry = new LoopbackRegistry(loop, time, log);
    }

    /** Opens discovery and the servers. Blocks; must not be called on the event loop. */
    void open() throws InterruptedException {
        registry.listen();
        for (int i = 0; i < SERVER_COUNT; i++) {
            LoopbackServer server = server(ZONES.get(i % ZONES.size()), false);
            server.listen();
            loop.submit(() -> ready(server)).sync();
        }
    }

    /** Creates the clients of the sidecar at this port, including bad clients. */
    void attach(int port, double rate) {
        InetSocketAddress sidecar = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        clients =
                new LoopbackClients(
                        loop,
                        time,
                        sidecar,
                        new LoopbackClients.Habits(
                                CLIENT_COUNT, rate, IMPATIENT_SHARE, Verdict.TOLERANCE),
                        random.split(),
                        log);
        badClients = new BadClients(loop, sidecar, BAD_CLIENT_LIMIT_NANOS, log);
    }

    private LoopbackServer server(String zone, boolean cold) {
        LoopbackServer server =
                new LoopbackServer(
                        loop,
                        time,
                        new LoopbackServer.Identity(
                                "s" + ++started, zone, ColdStart.Figures.USUAL, QUEUE_LENGTH, cold),
                        memory,
                        random.split(),
                        log);
        log.started(server.identity().name(), cold, time.nanos());
        return server;
    }

    private void ready(LoopbackServer server) {
        servers.add(server);
        announce(server, State.READY);
    }

    /** Sets the state of a server in discovery. */
    void announce(LoopbackServer server, State state) {
        registry.set(
                new LoopbackRegistry.Entry(
                        server.identity().name(),
                        server.endpoint(),
                        server.identity().zone(),
                        state,
                        server.bootMillis()));
    }

    /** Starts a cold server at the address of one that has ended. */
    LoopbackServer replace(LoopbackServer gone) {
        return startCold(gone.identity().zone(), gone.port());
    }

    /** Starts a cold server at a new address. */
    LoopbackServer add(String zone) {
        return startCold(zone, 0);
    }

    private LoopbackServer startCold(String zone, int port) {
        LoopbackServer server = server(zone, true);
        server.listen(port, () -> ready(server));
        return server;
    }

    /**
     * Returns the running servers in turn, from a random one on, so that faults affect different
     * ones.
     */
    LoopbackServer nextServer() {
        turn++;
        return servers.get(turn % servers.size());
    }

    /** Ends a server abruptly, as a crashed process does. */
    void end(LoopbackServer server) {
        servers.remove(server);
        server.crash();
    }

    void close() {
        servers.forEach(LoopbackServer::crash);
        registry.close();
    }
}
