package appleridge.http1;

import appleridge.request.EventLog;
import appleridge.request.RequestCoordinator;
import appleridge.request.Scheduler;
import appleridge.transport.AcceptFailureHandler;
import appleridge.transport.EventLoopMonitor;
import appleridge.transport.InheritedListener;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * The listening side: accepts the application's connections and ends them in order. All methods are
 * to be called on the loop, unless nothing runs on it yet.
 */
public final class ClientListener {
    /** Between two checks of all connections for what takes too long. */
    private static final long MAINTENANCE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Between two checks of the loop's lag: half of what a disconnect may go unseen. */
    private static final long STALL_TICK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** After accepting failed, for descriptors to be free again. */
    private static final long ACCEPT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Connections accepted between two checks of the cap, and so at most beyond it. */
    private static final int MAX_ACCEPTS_PER_READ = 4;

    /** Connections that the system holds for us. */
    private static final int LISTEN_BACKLOG = 1024;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final RequestCoordinator coordinator;
    private final RequestParser requestParser;
    private final int maxConnections;
    private final ClientTimeouts timeouts;
    private final ClientConnectionRegistry connections;
    private final AcceptGate acceptGate;
    private final GracefulDrain drain;
    private final EventLoopMonitor monitor;
    private final Scheduler.ScheduledTask maintenance;
    private final Scheduler.ScheduledTask stallTicks;
    private Channel listener;
    private boolean listenerInherited;
    private boolean warm;

    /** With the most connections that are held at once. */
    public ClientListener(
            SidecarEventLoop loop,
            SocketFactory sockets,
            RequestCoordinator coordinator,
            RequestParser requestParser,
            int maxConnections,
            ClientTimeouts timeouts) {
        this.loop = loop;
        this.sockets = sockets;
        this.coordinator = coordinator;
        this.requestParser = requestParser;
        this.maxConnections = maxConnections;
        this.timeouts = timeouts;
        this.connections = new ClientConnectionRegistry(loop, maxConnections);
        this.monitor =
                new EventLoopMonitor(loop, MAINTENANCE_PERIOD_NANOS, coordinator::eventCount);
        this.acceptGate = new AcceptGate(loop, maxConnections, connections::isWithinLimit);
        this.drain = new GracefulDrain(loop, coordinator, connections, acceptGate);
        this.maintenance = loop.scheduleAtFixedDelay(MAINTENANCE_PERIOD_NANOS, this::maintain);
        this.stallTicks = loop.scheduleAtFixedDelay(STALL_TICK_PERIOD_NANOS, coordinator::tick);
    }

    /** Listens on this address only; the future has the address when it does. */
    public ChannelFuture listen(InetSocketAddress address) {
        return startAccepting(bootstrap().channelFactory(sockets::newServerChannel).bind(address));
    }

    /**
     * Accepts from a socket that the platform holds, which stays open when this listener ends.
     *
     * @param now whether at once, or else only after {@link #setConnectionShare} says so
     */
    public ChannelFuture listen(InheritedListener socket, boolean now) {
        listenerInherited = true;
        acceptGate.pause(!now);
        return startAccepting(socket.register(bootstrap()));
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop.executor(), loop.executor())
                .handler(new AcceptFailureHandler(loop, this::onAcceptFailed))
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, StreamedBody.readAllocator())
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                ClientConnection.install(channel, ClientListener.this);
                            }
                        });
    }

    private ChannelFuture startAccepting(ChannelFuture listening) {
        listener = listening.channel();
        acceptGate.attachTo(listener);
        acceptGate.update();
        boolean failed = listening.isDone() && !listening.isSuccess();
        if (!failed) {
            listener.config()
                    .<MaxMessagesRecvByteBufAllocator>getRecvByteBufAllocator()
                    .maxMessagesPerRead(MAX_ACCEPTS_PER_READ);
        }
        return listening;
    }

    /** Ends the warm-up: from now on {@link #isReady} may return true. */
    public void markWarmedUp() {
        warm = true;
    }

    /**
     * What it may use beside another process of this sidecar.
     *
     * @param accepts whether it accepts new connections
     * @param part of the connections that it may hold alone
     */
    public void setConnectionShare(boolean accepts, double part) {
        connections.limitTo(Math.max(1, (int) (maxConnections * part)));
        acceptGate.pause(!accepts);
        acceptGate.onConnectionsChanged();
    }

    /** Whether it can serve: warm, with an upstream host to use, and not draining. */
    public boolean isReady() {
        return warm && !drain.hasStarted() && coordinator.hasReadyHost();
    }

    SidecarEventLoop loop() {
        return loop;
    }

    RequestCoordinator coordinator() {
        return coordinator;
    }

    RequestParser requestParser() {
        return requestParser;
    }

    /** Reads at once what the system holds for a connection. */
    void readNow(Channel channel) {
        sockets.readNow(channel);
    }

    EventLog log() {
        return loop.log();
    }

    /** Whether every response is the last one on its connection. */
    boolean isLastCall() {
        return drain.isLastCall();
    }

    /** A connection has been accepted. */
    void onConnectionOpened(ClientConnection connection) {
        connections.add(connection);
        if (acceptGate.onAccepted()) {
            connection.rejectForCapacity();
        }
        acceptGate.onConnectionsChanged();
    }

    /** Responses have been written: the connection may be idle, and could make room. */
    void onResponsesWritten() {
        if (!connections.isWithinLimit()) {
            connections.makeRoom();
            acceptGate.onConnectionsChanged();
        }
        connections.boundKeptIdle();
    }

    /** A response waits for its client to read. */
    void onResponseUnread() {
        connections.boundUnread();
    }

    /** A connection has closed. */
    void onConnectionClosed(ClientConnection connection) {
        connections.remove(connection);
        acceptGate.onConnectionsChanged();
        drain.endIfDrained();
    }

    /** Logs that a client's connection is closed from this side, and why. */
    void logClosed(String reason) {
        connections.logClosed(reason);
    }

    /**
     * No descriptor was left, though the cap leaves room: one connection is evicted, and accepting
     * is tried again later. Tried again at once, it would fail over and over and take the loop's
     * time.
     */
    private void onAcceptFailed() {
        listener.config().setAutoRead(false);
        connections.evictOne();
        loop.schedule(ACCEPT_RETRY_NANOS, acceptGate::update);
    }

    private void maintain() {
        coordinator.tick();
        long now = loop.nanoTime();
        monitor.tick(now);
        connections.snapshot().forEach(each -> each.expire(now, timeouts));
        connections.makeRoom();
        acceptGate.rejectLongWaiting();
    }

    /**
     * Begins to drain. Where the platform holds the listening socket, another process accepts from
     * it already or will.
     *
     * @param signalledAgoNanos since the process was told to end
     * @param whenDrained run once, when all connections are closed
     */
    public void drain(long signalledAgoNanos, Runnable whenDrained) {
        drain.start(listener, listenerInherited, signalledAgoNanos, whenDrained);
    }

    /** What is known of stalls and spins of the event loop. */
    public EventLoopMonitor monitor() {
        return monitor;
    }

    /** Times since the start that accepting was paused or resumed. */
    public long acceptGateChanges() {
        return acceptGate.changeCount();
    }

    /** The number of open client connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Ends at once, whatever is open. */
    public void close() {
        maintenance.cancel();
        stallTicks.cancel();
        if (listenerInherited) {
            acceptGate.stop();
        } else {
            listener.close();
        }
        connections.snapshot().forEach(ClientConnection::close);
    }
}
