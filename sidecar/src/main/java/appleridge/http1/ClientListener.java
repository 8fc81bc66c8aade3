package appleridge.http1;

import appleridge.request.EventLog;
import appleridge.request.LogEvent;
import appleridge.request.LogText;
import appleridge.request.RequestCoordinator;
import appleridge.request.Scheduler;
import appleridge.transport.AcceptHandler;
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
 * Accepts client connections and closes them in order at the end. All methods must be called on the
 * event loop, unless nothing runs on it yet.
 */
public final class ClientListener {
    /** The period at which the time limits of all connections are checked. */
    private static final long MAINTENANCE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * The period of the loop's lag check: half of the time for which a disconnect may go unseen.
     */
    private static final long STALL_TICK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    /** The delay after a failed accept, in which descriptors may become free. */
    private static final long ACCEPT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Connections accepted between two checks of the limit, and so the most in excess of it. */
    private static final int MAX_ACCEPTS_PER_READ = 4;

    /** Connections accepted in a row, behind which the other connections have their turn. */
    private static final int MAX_ACCEPTS_PER_TURN = 12;

    /** The length of the kernel's backlog of connections that are not accepted yet. */
    private static final int LISTEN_BACKLOG = 1024;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final RequestCoordinator coordinator;
    private final RequestParser requestParser;
    private final int maxConnections;
    private final ClientTimeouts timeouts;
    private final BufferBudgets buffers;
    private final ClientConnectionRegistry connections;
    private final AcceptGate acceptGate;
    private final GracefulDrain drain;
    private final EventLoopMonitor monitor;
    private final Scheduler.ScheduledTask maintenance;
    private final Scheduler.ScheduledTask stallTicks;
    private Channel listener;
    private boolean listenerInherited;
    private int acceptedInRow;
    private boolean warmedUp;

    /**
     * Creates a listener and starts its periodic checks.
     *
     * @param maxConnections the maximum number of open connections
     * @param buffers the budgets of what is buffered for clients
     */
    public ClientListener(
            SidecarEventLoop loop,
            SocketFactory sockets,
            RequestCoordinator coordinator,
            RequestParser requestParser,
            int maxConnections,
            ClientTimeouts timeouts,
            BufferBudgets buffers) {
        this.loop = loop;
        this.sockets = sockets;
        this.coordinator = coordinator;
        this.requestParser = requestParser;
        this.maxConnections = maxConnections;
        this.timeouts = timeouts;
        this.buffers = buffers;
        this.connections =
                new ClientConnectionRegistry(loop, maxConnections, buffers.limits().unreadBytes());
        this.monitor =
                new EventLoopMonitor(loop, MAINTENANCE_PERIOD_NANOS, coordinator::eventCount);
        this.acceptGate = new AcceptGate(loop, maxConnections, connections::isWithinLimit);
        this.drain = new GracefulDrain(loop, coordinator, connections, acceptGate);
        this.maintenance = loop.scheduleAtFixedDelay(MAINTENANCE_PERIOD_NANOS, this::maintain);
        this.stallTicks = loop.scheduleAtFixedDelay(STALL_TICK_PERIOD_NANOS, coordinator::tick);
    }

    /** Binds to an address. The future completes when the channel listens. */
    public ChannelFuture listen(InetSocketAddress address) {
        return startAccepting(bootstrap().channelFactory(sockets::newServerChannel).bind(address));
    }

    /**
     * Accepts from a listening socket that the platform holds, which stays open when this listener
     * is closed.
     *
     * @param now whether to accept at once, or only after {@link #setConnectionShare} allows it
     */
    public ChannelFuture listen(InheritedListener socket, boolean now) {
        listenerInherited = true;
        acceptGate.pause(!now);
        return startAccepting(socket.register(bootstrap()));
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop.executor(), loop.executor())
                .handler(new AcceptHandler(loop, this::onAcceptFailed, this::onAcceptComplete))
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
        warmedUp = true;
    }

    /**
     * Sets this process's share of the connections while another process of this sidecar runs.
     *
     * @param accepts whether this process accepts new connections
     * @param fraction the fraction of the connection limit that this process may use
     */
    public void setConnectionShare(boolean accepts, double fraction) {
        connections.limitTo(Math.max(1, (int) (maxConnections * fraction)));
        acceptGate.pause(!accepts);
        acceptGate.onConnectionsChanged();
    }

    /**
     * Whether it can serve requests: warmed up, not draining, and {@link
     * RequestCoordinator#isReady}.
     */
    public boolean isReady() {
        return warmedUp && !drain.hasStarted() && coordinator.isReady();
    }

    SidecarEventLoop loop() {
        return loop;
    }

    /** How long ago at most a connection that is being accepted has been opened. */
    long openedWithinNanos() {
        return acceptGate.openedWithinNanos();
    }

    RequestCoordinator coordinator() {
        return coordinator;
    }

    /** The budgets of what is buffered for clients. */
    BufferBudgets buffers() {
        return buffers;
    }

    RequestParser requestParser() {
        return requestParser;
    }

    /** Reads pending input of a connection from its socket at once. */
    void readNow(Channel channel) {
        sockets.readNow(channel);
    }

    EventLog log() {
        return loop.log();
    }

    /** Whether the drain closes each connection after its next response. */
    boolean closesConnectionsAfterResponse() {
        return drain.closesConnectionsAfterResponse();
    }

    /** Registers an accepted connection, or rejects it at the limit. */
    void onConnectionOpened(ClientConnection connection) {
        connections.add(connection);
        if (acceptGate.onAccepted()) {
            connection.rejectForCapacity();
        }
        acceptGate.onConnectionsChanged();
    }

    /** Enforces the limits after responses have been written, which may leave a connection idle. */
    void onResponsesWritten() {
        if (!connections.isWithinLimit()) {
            connections.makeRoom();
            acceptGate.onConnectionsChanged();
        }
        connections.boundKeptIdle();
    }

    /** Enforces the limit on unread bytes, because a response waits for its client to read. */
    void onResponseUnread() {
        connections.boundUnread();
    }

    /** Removes a closed connection, and ends the drain if it was the last one. */
    void onConnectionClosed(ClientConnection connection) {
        connections.remove(connection);
        acceptGate.onConnectionsChanged();
        drain.endIfDrained();
    }

    /**
     * Logs a request that is dropped before it is accepted.
     *
     * @param clientPresent whether its client is still there, and has got a response to the
     *     malformed rest of the request
     */
    void logDropped(String requestId, boolean clientPresent) {
        coordinator.onRequestDropped(requestId);
        String reason = clientPresent ? "malformed" : "client_disconnected";
        loop.log()
                .event(
                        LogEvent.REQUEST_DROPPED,
                        () -> "id=" + LogText.id(requestId) + " reason=" + reason);
    }

    /** Logs the reason why this side closes a client connection. */
    void logClosed(String reason) {
        connections.logClosed(reason);
    }

    /** Accepts on in the same turn of the loop, so that few connections wait for its end. */
    private void onAcceptComplete(int accepted) {
        boolean emptied = accepted < MAX_ACCEPTS_PER_READ;
        acceptGate.onAcceptComplete(emptied);
        acceptedInRow += accepted;
        if (emptied || acceptedInRow >= MAX_ACCEPTS_PER_TURN) {
            acceptedInRow = 0;
        } else {
            loop.execute(this::acceptMore);
        }
    }

    private void acceptMore() {
        if (listener.isActive() && listener.config().isAutoRead()) {
            sockets.readNow(listener);
        }
    }

    /**
     * Handles an accept that failed for lack of descriptors although the limit leaves room: evicts
     * one connection and resumes accepting after a delay. An immediate retry would fail again and
     * again, and keep the event loop busy.
     */
    private void onAcceptFailed() {
        listener.config().setAutoRead(false);
        acceptGate.onAcceptFailed();
        connections.evictOne();
        loop.schedule(ACCEPT_RETRY_NANOS, acceptGate::update);
    }

    private void maintain() {
        coordinator.tick();
        long now = loop.nanoTime();
        monitor.tick(now);
        connections.snapshot().forEach(connection -> connection.expire(now, timeouts));
        connections.makeRoom();
        acceptGate.rejectLongWaiting();
    }

    /**
     * Starts the drain. If the platform holds the listening socket, another process accepts from it
     * now or later.
     *
     * @param signalledAgoNanos the time since the process received SIGTERM
     * @param whenDrained runs once, when all connections are closed
     */
    public void drain(long signalledAgoNanos, Runnable whenDrained) {
        drain.start(listener, listenerInherited, signalledAgoNanos, whenDrained);
    }

    /** The monitor of stalls and spins of the event loop. */
    public EventLoopMonitor monitor() {
        return monitor;
    }

    /** The number of times that accepting was paused or resumed since the start. */
    public long acceptGateChanges() {
        return acceptGate.changeCount();
    }

    /** The number of response bytes that are written and wait for clients to read. */
    public long unreadBytes() {
        return connections.unreadBytes();
    }

    /** The number of open client connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Closes the listener and all connections at once, including those with open requests. */
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
