package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.transport.InheritedListener;
import appleridge.transport.NioIoHandlerFactory;
import appleridge.transport.NioSocketFactory;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import appleridge.transport.SystemLog;
import appleridge.transport.SystemTime;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * One sidecar with its event loop thread, step by step from {@link #inherit} to {@link
 * #markWarmedUp}. Its methods are called from outside the event loop, in this order, by one thread;
 * what they start runs on the loop.
 */
final class SidecarRunner {
    private final NioIoHandlerFactory eventLoops = new NioIoHandlerFactory();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, eventLoops);
    private final GracefulShutdown shutdown = new GracefulShutdown(group);

    /** Made on the event loop and used there alone; null before. */
    private Sidecar sidecar;

    /**
     * A field, and in no lambda, so that its class is loaded only where there is one; else null.
     */
    private InheritedListener inheritedListener;

    /** As above. */
    private HotRestart hotRestart;

    private InetSocketAddress address;

    /** Starts a sidecar that listens by itself, and returns when it is ready. */
    static SidecarRunner start(SidecarConfig config, RuntimeOptions options)
            throws InterruptedException, ExecutionException {
        SidecarRunner runner = new SidecarRunner();
        runner.open(config, options);
        runner.warmUp(config);
        runner.markWarmedUp();
        return runner;
    }

    /** How it ends. */
    GracefulShutdown shutdown() {
        return shutdown;
    }

    /**
     * Takes over the listening socket that the platform holds, where BALANCER_LISTEN_FD names one,
     * and learns which other processes of this sidecar have it.
     */
    void inherit(SidecarConfig config) throws IOException {
        String descriptor = System.getenv("BALANCER_LISTEN_FD");
        if (descriptor == null || descriptor.isBlank()) {
            return;
        }
        String folder = System.getenv("TMPDIR");
        if (folder != null && !folder.isBlank()) {
            String name = config.name().replaceAll("[^A-Za-z0-9]", "_");
            hotRestart = HotRestart.begin(Path.of(folder, "appleridge-" + name));
        }
        inheritedListener =
                InheritedListener.inherited(
                        descriptor, hotRestart != null && hotRestart.isBesideAnother());
    }

    /** Listens, but is not ready. Throws also what Netty throws undeclared. */
    void open(SidecarConfig config, RuntimeOptions options)
            throws InterruptedException, ExecutionException {
        SidecarEventLoop loop = loop(group.next(), System.Logger.Level.INFO);
        SocketFactory sockets = new NioSocketFactory();
        ChannelFuture listening = group.submit(() -> listen(loop, sockets, config, options)).get();
        address = (InetSocketAddress) listening.sync().channel().localAddress();
    }

    /** Blocks until the code of requests is warm. */
    void warmUp(SidecarConfig config) throws InterruptedException {
        WarmUp.run(loop(group.next(), System.Logger.Level.DEBUG), new NioSocketFactory(), config);
    }

    /** From now on it says that it is ready. */
    void markWarmedUp() {
        group.execute(sidecar::markWarmedUp);
    }

    private ChannelFuture listen(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            RuntimeOptions options) {
        shutdown.requireRunning();
        sidecar =
                new Sidecar(
                        loop,
                        sockets,
                        config,
                        options,
                        SymmetricRoundRobinPolicy::new,
                        inheritedListener,
                        hotRestart);
        shutdown.attach(sidecar);
        return sidecar.listening();
    }

    private SidecarEventLoop loop(EventLoop executor, System.Logger.Level level) {
        return new SidecarEventLoop(
                executor,
                SystemTime.UNIX_MILLIS,
                new SystemLog(executor.ticker()::nanoTime, level),
                eventLoops);
    }

    /** Goes over to another discovery; requests go on untouched. */
    void switchRegistry(InetSocketAddress otherDiscovery) {
        group.execute(() -> sidecar.switchRegistry(otherDiscovery));
    }

    /** Where it listens; null before {@link #open}. */
    InetSocketAddress address() {
        return address;
    }

    /** Ends the event loop, whatever is open. */
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
