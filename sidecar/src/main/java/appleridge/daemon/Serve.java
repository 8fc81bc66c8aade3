package appleridge.daemon;

import appleridge.config.Config;
import appleridge.loadbalancing.SymmetricRoundRobin;
import appleridge.transport.HeldListener;
import appleridge.transport.Loop;
import appleridge.transport.NioEventLoopFactory;
import appleridge.transport.NioSockets;
import appleridge.transport.Sockets;
import appleridge.transport.SystemLog;
import appleridge.transport.SystemTime;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.Ticker;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * {@code java -jar appleridge.jar serve}: a sidecar as a process, with its thread and its signals.
 */
final class Serve {
    private static final System.Logger LOG = System.getLogger("appleridge");

    /** Longer than any client waits; what is still open then has no one to answer to. */
    private static final long LONGEST_DRAIN_SECONDS = 10;

    private final NioEventLoopFactory eventLoops = new NioEventLoopFactory();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, eventLoops);

    /** Made on the loop and used there alone; null before. */
    private Node node;

    /** Used on the loop alone: the end was asked for, and nothing begins any more. */
    private boolean ending;

    private volatile boolean failed;

    /** A field, and in no lambda: its class is loaded only where there is one. */
    private HeldListener held;

    /** As above. */
    private Handover handover;

    private InetSocketAddress address;

    private Serve() {}

    /** With the operator's file, or null where there is none. */
    static void main(Path operator) {
        logging();
        Reload reload = new Reload();
        boolean hearsHangup = HangupSignal.handle(reload::requested);
        Path file = Path.of(System.getenv().getOrDefault("BALANCER_CONFIG", ""));
        Config config = configuration(file);
        Tuning tuning = Tuning.USUAL;
        if (operator != null) {
            reload.fixed(operator);
            tuning = tuning(operator);
        }
        Serve serve = new Serve();
        // Danger: from when it listens on clients connect and ask, long before it says that it is
        // ready.
        Runtime.getRuntime().addShutdownHook(new Thread(serve::drainAndHalt, "drain"));
        try {
            serve.takeOver(config);
            serve.open(config, tuning);
            serve.warm(config);
            reload.begin(serve, file, config);
            if (!hearsHangup) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "SIGHUP is ignored by who started this process: a new "
                                + "configuration needs a restart");
            }
            LOG.log(System.Logger.Level.INFO, config.name() + " serves at " + config.listen());
            // Danger: clients come all at once when it says so. What a start has still to do then,
            // on
            // whichever thread, has the core while their requests wait unread.
            serve.ready();
        } catch (Exception e) {
            // Also the checked ones that Netty throws undeclared, such as an address in use.
            serve.failed = true;
            System.err.println(
                    "appleridge: can't start: " + String.valueOf(e.getMessage()).split("\n")[0]);
            System.exit(1);
        }
    }

    /**
     * Only loads and runs what a start loads and runs: to archive the classes while building, since
     * loading them is most of the time that a restart takes.
     */
    static void warmUp() {
        logging();
        Config config = configuration(Path.of(System.getenv().getOrDefault("BALANCER_CONFIG", "")));
        try {
            // Danger: a fixed port is one that another build on the same machine may hold.
            Serve serve = new Serve();
            serve.open(
                    config.listeningAt(new InetSocketAddress(config.listen().getAddress(), 0)),
                    Tuning.USUAL);
            serve.follow(serve.address());
            serve.warm(config);
            serve.ready();
            LOG.log(System.Logger.Level.INFO, config.name() + " is warm");
            serve.close();
        } catch (Exception e) {
            System.err.println(
                    "appleridge: can't warm up: " + String.valueOf(e.getMessage()).split("\n")[0]);
            System.exit(1);
        }
    }

    /** Danger: by itself Netty would load SLF4J, which is here for ZooKeeper's client alone. */
    private static void logging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private static Config configuration(Path file) {
        try {
            if (file.toString().isEmpty()) {
                throw new IllegalArgumentException("BALANCER_CONFIG is not set");
            }
            return withAdmin(Config.parse(Files.readAllBytes(file)));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(
                    "appleridge: configuration: " + String.valueOf(e.getMessage()).split("\n")[0]);
            System.exit(2);
            throw new IllegalStateException(e);
        }
    }

    /** Where operators call, if the platform tells it beside the configuration. */
    static Config withAdmin(Config config) {
        String told = System.getenv("BALANCER_ADMIN");
        boolean used = config.admin() == null && told != null && !told.isBlank();
        return used ? config.withAdmin(Config.address(told.strip())) : config;
    }

    private static Tuning tuning(Path operator) {
        try {
            return OperatorStart.tuning(operator);
        } catch (IllegalArgumentException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.exit(2);
            throw e;
        }
    }

    static Serve start(Config config, Tuning tuning)
            throws InterruptedException, ExecutionException {
        Serve serve = new Serve();
        serve.begin(config, tuning);
        return serve;
    }

    /** The listening socket that the platform holds, where it says so, and who else has it. */
    private void takeOver(Config config) throws IOException {
        String descriptor = System.getenv("BALANCER_LISTEN_FD");
        if (descriptor == null || descriptor.isBlank()) {
            return;
        }
        String folder = System.getenv("TMPDIR");
        if (folder != null && !folder.isBlank()) {
            String name = config.name().replaceAll("[^A-Za-z0-9]", "_");
            handover = Handover.begin(Path.of(folder, "appleridge-" + name));
        }
        held = HeldListener.inherited(descriptor, handover != null && handover.isBesideAnother());
    }

    private void begin(Config config, Tuning tuning)
            throws InterruptedException, ExecutionException {
        open(config, tuning);
        warm(config);
        ready();
    }

    /** It listens, but is not ready. */
    private void open(Config config, Tuning tuning)
            throws InterruptedException, ExecutionException {
        Loop loop = loop(group.next(), System.Logger.Level.INFO);
        Sockets sockets = new NioSockets();
        ChannelFuture listening = group.submit(() -> listen(loop, sockets, config, tuning)).get();
        address = (InetSocketAddress) listening.sync().channel().localAddress();
    }

    private void warm(Config config) throws InterruptedException {
        WarmUp.run(loop(group.next(), System.Logger.Level.DEBUG), new NioSockets(), config);
    }

    private void ready() {
        group.execute(node::warm);
    }

    private ChannelFuture listen(Loop loop, Sockets sockets, Config config, Tuning tuning) {
        if (ending) {
            throw new IllegalStateException("ended before it began");
        }
        node = new Node(loop, sockets, config, tuning, SymmetricRoundRobin::new, held, handover);
        return node.listening();
    }

    private Loop loop(EventLoop executor, System.Logger.Level level) {
        return new Loop(
                executor,
                SystemTime.UNIX_MILLIS,
                new SystemLog(executor.ticker()::nanoTime, level),
                eventLoops);
    }

    /** Goes over to another discovery; requests go on untouched. */
    void follow(InetSocketAddress otherDiscovery) {
        group.execute(() -> node.follow(otherDiscovery));
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Danger: the time up to SIGKILL runs from when this process is told, not from when its loop
     * hears.
     */
    void drain(Runnable drained) {
        Ticker ticker = group.next().ticker();
        long toldAt = ticker.nanoTime();
        group.execute(
                () -> {
                    ending = true;
                    if (node == null) {
                        drained.run();
                    } else {
                        node.drain(ticker.nanoTime() - toldAt, drained);
                    }
                });
    }

    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** On SIGTERM: an orderly end is no failure, so the status is 0 and not the signal's. */
    private void drainAndHalt() {
        if (failed) {
            // Danger: to halt here would hide the status of a start that failed.
            return;
        }
        SystemLog.writeDirectly();
        CountDownLatch drained = new CountDownLatch(1);
        drain(drained::countDown);
        // Behind that on the loop: who reads this line may count on the end having begun.
        group.execute(() -> SystemLog.info("draining"));
        try {
            drained.await(LONGEST_DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
