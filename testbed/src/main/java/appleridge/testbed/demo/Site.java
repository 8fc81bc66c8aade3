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

/** Order servers in three zones, discovery and clients, all on one event loop. */
final class Site {
    static final List<String> ZONES = List.of("ebene", "port-louis", "rose-belle");
    private static final int SERVERS = 6;
    private static final int CLIENTS = 36;
    private static final int QUEUE = 48;
    private static final double IMPATIENT = 0.005;

    /** Within so long a bad client is owed an error or a close. */
    private static final long OWED = TimeUnit.SECONDS.toNanos(3) + Verdict.MACHINE;

    final EventLoop loop;
    final RealTime time = new RealTime();
    final SiteLog log = new SiteLog();
    final LoopbackRegistry registry;

    /** Those that run, in the order of their starts. */
    final List<LoopbackServer> servers = new ArrayList<>();

    private final SplittableRandom chance;
    private final RepeatMemory memory = new RepeatMemory(0);
    LoopbackClients clients;
    BadClients badClients;
    private int started;
    private int turn;

    Site(EventLoop loop, long seed) {
        this.loop = loop;
        this.chance = new SplittableRandom(seed);
        this.turn = chance.nextInt(SERVERS);
        this.registry = new LoopbackRegistry(loop, time, log);
    }

    /** Opens all that a sidecar needs to start; blocks, so never to be called on the loop. */
    void open() throws InterruptedException {
        registry.listen();
        for (int i = 0; i < SERVERS; i++) {
            LoopbackServer server = server(ZONES.get(i % ZONES.size()), false);
            server.listen();
            loop.submit(() -> ready(server)).sync();
        }
    }

    /** The applications beside a sidecar, and some that misbehave. */
    void attach(int port, double rate) {
        InetSocketAddress sidecar = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        clients =
                new LoopbackClients(
                        loop,
                        time,
                        sidecar,
                        new LoopbackClients.Habits(CLIENTS, rate, IMPATIENT, Verdict.MACHINE),
                        chance.split(),
                        log);
        badClients = new BadClients(loop, sidecar, OWED, log);
    }

    private LoopbackServer server(String zone, boolean cold) {
        LoopbackServer server =
                new LoopbackServer(
                        loop,
                        time,
                        new LoopbackServer.Identity(
                                "s" + ++started, zone, ColdStart.Figures.USUAL, QUEUE, cold),
                        memory,
                        chance.split(),
                        log);
        log.started(server.identity().name(), cold, time.nanos());
        return server;
    }

    private void ready(LoopbackServer server) {
        servers.add(server);
        say(server, State.READY);
    }

    /** Discovery comes to know this of a server. */
    void say(LoopbackServer server, State state) {
        registry.set(
                new LoopbackRegistry.Entry(
                        server.identity().name(),
                        server.endpoint(),
                        server.identity().zone(),
                        state,
                        server.bootMillis()));
    }

    /** Starts another one at the address of one that is no more. */
    LoopbackServer replace(LoopbackServer gone) {
        return begin(gone.identity().zone(), gone.port());
    }

    /** Starts another one at an address of its own. */
    LoopbackServer add(String zone) {
        return begin(zone, 0);
    }

    private LoopbackServer begin(String zone, int port) {
        LoopbackServer server = server(zone, true);
        server.listen(port, () -> ready(server));
        return server;
    }

    /** One that runs, drawn at first and then in turn, so that faults strike different ones. */
    LoopbackServer another() {
        turn++;
        return servers.get(turn % servers.size());
    }

    /** The process ends. */
    void end(LoopbackServer server) {
        servers.remove(server);
        server.crash();
    }

    void close() {
        servers.forEach(LoopbackServer::crash);
        registry.close();
    }
}
