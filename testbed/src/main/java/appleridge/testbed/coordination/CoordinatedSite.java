package appleridge.testbed.coordination;

import appleridge.testbed.demo.SidecarProcess;
import appleridge.testbed.demo.SidecarSettings;
import appleridge.testbed.standin.LoopbackClients;
import appleridge.testbed.standin.LoopbackRegistry;
import appleridge.testbed.standin.LoopbackServer;
import appleridge.testbed.standin.RealTime;
import appleridge.testbed.standin.RepeatMemory;
import appleridge.testbed.standin.StandInListener;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.zookeeper.KeeperException;

/**
 * A test site on loopback: order servers that register with a coordination server, clients, and one
 * real sidecar process that discovers the servers through a relay. All stand-ins except the
 * coordination server run on one event loop.
 */
final class CoordinatedSite implements AutoCloseable {
    static final String ROOT = "/orders/servers";
    static final List<String> ZONES = List.of("ebene", "port-louis", "rose-belle");

    /** The shortest session time-out that a sidecar accepts, so that sessions expire often. */
    static final String MIN_SESSION_TIMEOUT = "2s";

    private static final int CLIENTS = 36;

    /** Exceeds the duration of any request that is answered at all. */
    private static final long TIMEOUT_SLACK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int LAG_MILLIS = 5;
    private static final int SESSION_MILLIS = 4000;
    private static final int PATIENCE_MILLIS = 60_000;
    private static final int POLL_MILLIS = 10;

    /** Where the sidecar discovers servers; written in lower case into its configuration. */
    enum Source {
        NODES,
        BOTH,
        REGISTRY
    }

    final RealTime time = new RealTime();
    final RepeatMemory memory = new RepeatMemory(0);
    final SplittableRandom random;
    final EventLoop loop;
    final CoordinationServer coordination;
    final Relay relay;
    final DrainTracker drains;
    final Traffic traffic;
    final LoopbackRegistry registry;
    final List<ProcessSlot> slots = new ArrayList<>();
    final LoopLag lag = new LoopLag();
    private final EventLoopGroup group;
    private final long seed;
    private final String session;
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final List<Arrivals> listeners = new ArrayList<>();
    private NodeWriter rootWriter;
    LoopbackClients clients;
    SidecarProcess sidecar;

    /**
     * Receives each request that arrives at a server, with the server's address; called on the
     * loop.
     */
    interface Arrivals {
        void arrived(String address, StandInListener.Arrival arrival);
    }

    CoordinatedSite(long seed, long drainGrace) throws IOException, InterruptedException {
        this(seed, drainGrace, MIN_SESSION_TIMEOUT);
    }

    /**
     * Creates a site whose sidecar requests the given session time-out, in the notation of the
     * operator's configuration.
     */
    CoordinatedSite(long seed, long drainGrace, String session)
            throws IOException, InterruptedException {
        this.seed = seed;
        this.session = session;
        this.random = new SplittableRandom(seed);
        this.group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("site", true), NioIoHandler.newFactory());
        this.loop = group.next();
        this.coordination = CoordinationServer.standalone(CoordinationServer.Times.QUICK);
        this.drains = new DrainTracker(ROOT, drainGrace);
        this.traffic = new Traffic(time, this::arrived);
        this.registry = new LoopbackRegistry(loop, time, traffic);
        this.relay = new Relay(loop, time, coordination.address(), drains);
    }

    /** Starts everything that the sidecar depends on, with the given number of servers. */
    void open(int servers)
            throws IOException, InterruptedException, ExecutionException, KeeperException {
        registry.listen();
        relay.listen();
        rootWriter = new NodeWriter(coordination.address(), ROOT, PATIENCE_MILLIS);
        rootWriter.createPersistent();
        for (int i = 0; i < servers; i++) {
            ProcessSlot slot = new ProcessSlot(this, "s" + (i + 1), ZONES.get(i % ZONES.size()));
            slot.startProcess(false, false);
            slots.add(slot);
        }
    }

    /** Returns a writer whose session lives as long as the site. */
    NodeWriter rootWriter() {
        return rootWriter;
    }

    int sessionMillis() {
        return SESSION_MILLIS;
    }

    /** Starts the sidecar and clients that send it {@code rate} requests a second. */
    void start(Path jar, Source source, double rate)
            throws IOException, InterruptedException, ExecutionException {
        sidecar = new SidecarProcess(jar, operatorConfiguration(source));
        SidecarSettings settings = new SidecarSettings(ZONES, seed);
        sidecar.start(port -> settings.configuration(port, registry.endpoint(), registry.whole()));
        clients =
                new LoopbackClients(
                        loop,
                        time,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), sidecar.port()),
                        new LoopbackClients.Habits(CLIENTS, rate, 0, TIMEOUT_SLACK_NANOS),
                        random.split(),
                        traffic);
        loop.execute(
                () -> {
                    lag.begin();
                    clients.start();
                });
    }

    private String operatorConfiguration(Source source) {
        return source == Source.REGISTRY
                ? ""
                : "version = 1\n[membership]\nsource = \""
                        + source.name().toLowerCase(Locale.ROOT)
                        + "\"\nservers = [\"127.0.0.1:"
                        + relay.address().getPort()
                        + "\"]\nroot = \""
                        + ROOT
                        + "\"\nsession-timeout = \""
                        + session
                        + "\"\n";
    }

    /** Records the address of a server that now listens. */
    void addServer(LoopbackServer server) throws InterruptedException, ExecutionException {
        onLoop(() -> addresses.put(server.identity().name(), server.endpoint()));
    }

    private void arrived(StandInListener.Arrival arrival) {
        String address = addresses.get(arrival.server());
        drains.onRequest(address, arrival.server(), arrival.id(), arrival.firstByte());
        listeners.forEach(each -> each.arrived(address, arrival));
    }

    /** Adds a listener; call on the loop. */
    void listen(Arrivals arrivals) {
        listeners.add(arrivals);
    }

    <T> T onLoop(Callable<T> what) throws InterruptedException, ExecutionException {
        return loop.submit(what).get();
    }

    /**
     * Polls a condition on the loop until it holds; returns false if it does not within a minute.
     */
    boolean await(Callable<Boolean> what) throws InterruptedException, ExecutionException {
        for (int waited = 0; waited < PATIENCE_MILLIS; waited += POLL_MILLIS) {
            if (onLoop(what)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return false;
    }

    /** Returns the id of the sidecar's session; 0 if it is not connected. */
    long sidecarSession() throws InterruptedException, ExecutionException {
        return onLoop(() -> relay.sessions().stream().reduce(0L, (first, last) -> last));
    }

    /** Stops the clients and waits until no request is open. */
    void stopClients() throws InterruptedException, ExecutionException {
        loop.execute(clients::stop);
        await(() -> clients.open() == 0);
        loop.execute(clients::closeIdle);
    }

    @Override
    public void close() throws IOException {
        if (sidecar != null) {
            sidecar.close();
        }
        slots.forEach(ProcessSlot::close);
        loop.execute(relay::close);
        loop.execute(registry::close);
        rootWriter.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
        coordination.close();
    }

    /**
     * Measures the worst lag of the event loop, which is part of every time that the loop records.
     */
    final class LoopLag {
        private long worst;
        private long due;

        private void begin() {
            due = time.nanos() + TimeUnit.MILLISECONDS.toNanos(LAG_MILLIS);
            loop.schedule(
                    () -> {
                        worst = Math.max(worst, time.nanos() - due);
                        begin();
                    },
                    LAG_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        long worst() {
            return worst;
        }
    }
}
