package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.transport.InheritedListener;
import appleridge.transport.NioEventLoopFactory;
import appleridge.transport.NioSocketFactory;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
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
final class ServeCommand {
    private static final System.Logger LOG = System.getLogger("appleridge");

    /** Longer than any client waits; what is still open then has no one to answer to. */
    private static final long LONGEST_DRAIN_SECONDS = 10;

    private final NioEventLoopFactory eventLoops = new NioEventLoopFactory();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, eventLoops);

    /** Made on the loop and used there alone; null before. */
    private Sidecar node;

    /** Used on the loop alone: the end was asked for, and nothing begins any more. */
    private boolean ending;

    private volatile boolean failed;

    /** A field, and in no lambda: its class is loaded only where there is one. */
    private InheritedListener held;

    /** As above. */
    private HotRestart handover;

    private InetSocketAddress address;

    private ServeCommand() {}

    /** With the operator's file, or null where there is none. */
    static void main(Path operator) {
        logging();
        ConfigReloader reload = new ConfigReloader();
        boolean hearsHangup = HangupSignal.handle(reload::requested);
        Path file = Path.of(System.getenv().getOrDefault("BALANCER_CONFIG", ""));
        SidecarConfig config = configuration(file);
        RuntimeOptions tuning = RuntimeOptions.USUAL;
        if (operator != null) {
            reload.fixed(operator);
            tuning = tuning(operator);
        }
        ServeCommand serve = new ServeCommand();
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
            LOG.log(
                    System.Logger.Level.INFO,
                    config.name() + " serves at " + config.listenAddress());
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
        SidecarConfig config =
                configuration(Path.of(System.getenv().getOrDefault("BALANCER_CONFIG", "")));
        try {
            // Danger: a fixed port is one that another build on the same machine may hold.
            ServeCommand serve = new ServeCommand();
            serve.open(
                    config.listeningAt(
                            new InetSocketAddress(config.listenAddress().getAddress(), 0)),
                    RuntimeOptions.USUAL);
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

    private static SidecarConfig configuration(Path file) {
        try {
            if (file.toString().isEmpty()) {
                throw new IllegalArgumentException("BALANCER_CONFIG is not set");
            }
            return withAdmin(SidecarConfig.parse(Files.readAllBytes(file)));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println(
                    "appleridge: configuration: " + String.valueOf(e.getMessage()).split("\n")[0]);
            System.exit(2);
            throw new IllegalStateException(e);
        }
    }

    /** Where operators call, if the platform tells it beside the configuration. */
    static SidecarConfig withAdmin(SidecarConfig config) {
        String told = System.getenv("BALANCER_ADMIN");
        boolean used = config.adminAddress().isEmpty() && told != null && !told.isBlank();
        return used ? config.withAdmin(SidecarConfig.address(told.strip())) : config;
    }

    private static RuntimeOptions tuning(Path operator) {
        try {
            return OperatorFileStartup.tuning(operator);
        } catch (IllegalArgumentException e) {
            System.err.println("appleridge: " + e.getMessage());
            System.exit(2);
            throw e;
        }
    }

    static ServeCommand start(SidecarConfig config, RuntimeOptions tuning)
            throws InterruptedException, ExecutionException {
        ServeCommand serve = new ServeCommand();
        serve.begin(config, tuning);
        return serve;
    }

    /** The listening socket that the platform holds, where it says so, and who else has it. */
    private void takeOver(SidecarConfig config) throws IOException {
        String descriptor = System.getenv("BALANCER_LISTEN_FD");
        if (descriptor == null || descriptor.isBlank()) {
            return;
        }
        String folder = System.getenv("TMPDIR");
        if (folder != null && !folder.isBlank()) {
            String name = config.name().replaceAll("[^A-Za-z0-9]", "_");
            handover = HotRestart.begin(Path.of(folder, "appleridge-" + name));
        }
        held =
                InheritedListener.inherited(
                        descriptor, handover != null && handover.isBesideAnother());
    }

    private void begin(SidecarConfig config, RuntimeOptions tuning)
            throws InterruptedException, ExecutionException {
        open(config, tuning);
        warm(config);
        ready();
    }

    /** It listens, but is not ready. */
    private void open(SidecarConfig config, RuntimeOptions tuning)
            throws InterruptedException, ExecutionException {
        SidecarEventLoop loop = loop(group.next(), System.Logger.Level.INFO);
        SocketFactory sockets = new NioSocketFactory();
        ChannelFuture listening = group.submit(() -> listen(loop, sockets, config, tuning)).get();
        address = (InetSocketAddress) listening.sync().channel().localAddress();
    }

    private void warm(SidecarConfig config) throws InterruptedException {
        WarmUp.run(loop(group.next(), System.Logger.Level.DEBUG), new NioSocketFactory(), config);
    }

    private void ready() {
        group.execute(node::warm);
    }

    private ChannelFuture listen(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            RuntimeOptions tuning) {
        if (ending) {
            throw new IllegalStateException("ended before it began");
        }
        node =
                new Sidecar(
                        loop,
                        sockets,
                        config,
                        tuning,
                        SymmetricRoundRobinPolicy::new,
                        held,
                        handover);
        return node.listening();
    }

    private SidecarEventLoop loop(EventLoop executor, System.Logger.Level level) {
        return new SidecarEventLoop(
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
        group.execute(() -> SystemLog.logProcessEvent("draining"));
        try {
            drained.await(LONGEST_DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
