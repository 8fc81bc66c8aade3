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
 * Runs one sidecar with its event loop thread. One thread outside the event loop calls the methods
 * of the start in this order: {@link #inherit}, {@link #open}, {@link #warmUp}, {@link
 * #markWarmedUp}. The sidecar itself runs on the loop.
 */
final class SidecarRunner {
    private final NioIoHandlerFactory eventLoops = new NioIoHandlerFactory();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, eventLoops);
    private final GracefulShutdown shutdown = new GracefulShutdown(group);

    /** Event loop only; null before {@link #open}. */
    private Sidecar sidecar;

    /**
     * Null if BALANCER_LISTEN_FD is not set. A field that no lambda captures, so that its class is
     * loaded only if it is used.
     */
    private InheritedListener inheritedListener;

    /** Null if there is no shared folder. A field for the same reason. */
    private HotRestart hotRestart;

    private InetSocketAddress address;

    /** Starts a sidecar that opens its own listening socket, and returns when it is warmed up. */
    static SidecarRunner start(SidecarConfig config, RuntimeOptions options)
            throws InterruptedException, ExecutionException {
        SidecarRunner runner = new SidecarRunner();
        runner.open(config, options);
        runner.warmUp(config);
        runner.markWarmedUp();
        return runner;
    }

    /** Returns the graceful shutdown of this sidecar. */
    GracefulShutdown shutdown() {
        return shutdown;
    }

    /**
     * Takes over the listening socket that BALANCER_LISTEN_FD names, if it is set, and reads which
     * other processes of this sidecar share it.
     *
     * @throws IOException if the descriptor is not a listening socket that can be used
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

    /**
     * Listens; the sidecar is not ready yet. Also throws Netty's undeclared checked exceptions,
     * such as {@link java.net.BindException}.
     */
    void open(SidecarConfig config, RuntimeOptions options)
            throws InterruptedException, ExecutionException {
        // Read only where it counts, because it loads classes.
        long processAgeNanos = config.pollsLocalAgent() ? SystemTime.processAgeNanos() : 0;
        SidecarEventLoop loop =
                newEventLoop(group.next(), System.Logger.Level.INFO, processAgeNanos);
        SocketFactory sockets = new NioSocketFactory();
        ChannelFuture listening = group.submit(() -> listen(loop, sockets, config, options)).get();
        address = (InetSocketAddress) listening.sync().channel().localAddress();
    }

    /** Warms up the code that serves requests. Blocks until done. */
    void warmUp(SidecarConfig config) throws InterruptedException {
        WarmUp.run(
                newEventLoop(group.next(), System.Logger.Level.DEBUG, 0),
                new NioSocketFactory(),
                config);
    }

    /** Ends the warm-up: from now on the sidecar can report that it is ready. */
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

    private SidecarEventLoop newEventLoop(
            EventLoop executor, System.Logger.Level level, long processAgeNanos) {
        return new SidecarEventLoop(
                executor,
                SystemTime.UNIX_MILLIS,
                new SystemLog(executor.ticker()::nanoTime, level),
                eventLoops,
                processAgeNanos);
    }

    /** Switches to the registry at another address; requests are not affected. */
    void switchRegistry(InetSocketAddress registryAddress) {
        group.execute(() -> sidecar.switchRegistry(registryAddress));
    }

    /** Returns the address that the sidecar listens on; null before {@link #open}. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns the number of bytes that are buffered for clients and upstream hosts. */
    long bufferedBytes() throws InterruptedException, ExecutionException {
        return group.submit(() -> sidecar.bufferedBytes()).get();
    }

    /** Stops the event loop, including everything that is open on it. */
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
