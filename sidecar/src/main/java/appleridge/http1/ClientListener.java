package appleridge.http1;

import appleridge.request.EventLog;
import appleridge.request.LogEvent;
import appleridge.request.RequestCoordinator;
import appleridge.request.Scheduler;
import appleridge.transport.AcceptFailures;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The listening side: accepts the application's connections, and ends them in order. */
public final class ClientListener {
    private static final long SETTLE_MILLIS = 20;

    /**
     * For so long after SIGTERM a connection that the application keeps may still bring a request,
     * where another process accepts already; it is told then that it was the last one.
     */
    private static final long KEPT_AFTER_TERM_MILLIS = 500;

    private static final long SWEEP_MILLIS = 100;

    /**
     * From one look at how late the loop is to the next: half of what a client's leaving may go
     * unseen.
     */
    private static final long TICK_MILLIS = 40;

    /** After accepting failed, for descriptors to be free again. */
    private static final long ACCEPT_AGAIN_MILLIS = 50;

    /**
     * What is accepted between two looks at the connections there are; also what may come over the
     * cap.
     */
    private static final int ACCEPTS_AT_ONCE = 4;

    /** Of the cap, for connections that have had their answer and wait for the next request. */
    private static final double KEPT_PART = 0.3;

    /**
     * Bytes of answers that wait for clients to read, over all connections: a third of what the
     * process is given outside the heap, where they are held.
     */
    static final long MOST_UNREAD = 8 << 20;

    private static final int BACKLOG = 1024;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final RequestCoordinator exchanges;
    private final RequestParser reader;
    private final int maxConnections;
    private final ClientTimeouts times;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final Scheduler.ScheduledTask sweeper;
    private final Scheduler.ScheduledTask stallTicks;
    private final AcceptGate backlog;
    private final EventLoopMonitor monitor;

    /** Of those, what it may hold now. */
    private int most;

    private Channel listener;

    /** The listening socket is the platform's: another process may accept from it, now or later. */
    private boolean held;

    private boolean warm;
    private boolean draining;
    private boolean lastCall;

    /** Connections are just being closed to make room. */
    private boolean closing;

    private boolean settling;
    private Runnable drained;

    /** With the most connections that are held at once. */
    public ClientListener(
            SidecarEventLoop loop,
            SocketFactory sockets,
            RequestCoordinator exchanges,
            RequestParser reader,
            int maxConnections,
            ClientTimeouts times) {
        this.times = times;
        this.loop = loop;
        this.sockets = sockets;
        this.exchanges = exchanges;
        this.reader = reader;
        this.maxConnections = maxConnections;
        this.most = maxConnections;
        this.monitor = new EventLoopMonitor(loop, millis(SWEEP_MILLIS), exchanges::eventCount);
        this.backlog = new AcceptGate(loop, maxConnections, this::hasRoom);
        this.sweeper = loop.every(millis(SWEEP_MILLIS), this::sweep);
        this.stallTicks = loop.every(millis(TICK_MILLIS), exchanges::tick);
    }

    /** Listens on this address only; the future has the address when it does. */
    public ChannelFuture listen(InetSocketAddress address) {
        return accept(bootstrap().channelFactory(sockets::listening).bind(address));
    }

    /**
     * Accepts from a socket that the platform holds, which goes on when this server ends; at once,
     * or when it is told to by {@link #share}.
     */
    public ChannelFuture listen(InheritedListener socket, boolean now) {
        held = true;
        backlog.waits(!now);
        return accept(socket.register(bootstrap()));
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop.executor(), loop.executor())
                .handler(new AcceptFailures(loop, this::acceptFailed))
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, StreamedBody.reads())
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                ClientConnection.install(channel, ClientListener.this);
                            }
                        });
    }

    private ChannelFuture accept(ChannelFuture listening) {
        listener = listening.channel();
        backlog.listener(listener);
        backlog.accept();
        if (!(listening.isDone() && !listening.isSuccess())) {
            listener.config()
                    .<MaxMessagesRecvByteBufAllocator>getRecvByteBufAllocator()
                    .maxMessagesPerRead(ACCEPTS_AT_ONCE);
        }
        return listening;
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** From now on it says that it is ready, if it has a list to use. */
    public void warm() {
        warm = true;
    }

    /**
     * What it may use beside another process of this sidecar.
     *
     * @param accepts whether it takes new connections
     * @param part of the connections that it may hold alone
     */
    public void share(boolean accepts, double part) {
        most = Math.max(1, (int) (maxConnections * part));
        makeRoom();
        backlog.waits(!accepts);
        backlog.changed();
    }

    /** Whether it can serve: warm, with a list to use, and not about to end. */
    public boolean ready() {
        return warm && !draining && exchanges.hasReadyHost();
    }

    SidecarEventLoop loop() {
        return loop;
    }

    RequestCoordinator exchanges() {
        return exchanges;
    }

    RequestParser reader() {
        return reader;
    }

    /** Reads at once what the system holds for a connection. */
    void readNow(Channel channel) {
        sockets.readNow(channel);
    }

    EventLog log() {
        return loop.log();
    }

    /** Whether every answer is the last one on its connection. */
    boolean lastCall() {
        return lastCall;
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
        makeRoom();
        if (backlog.tells()) {
            connection.rejectForCapacity();
        }
        bound(connection);
    }

    /** Nothing may be open on it any more, so that it could make room for those that wait. */
    void answered(ClientConnection connection) {
        if (connections.size() > most) {
            makeRoom();
            bound(connection);
        }
        boundKept();
    }

    /**
     * Danger: the application's descriptors are bounded too, and with what it keeps it can't ask.
     * Where many ask once and keep their connection, or another sidecar's clients come over, all
     * its descriptors idle here while its requests find none. The longest idle one goes, for one in
     * use is seldom it. Where more clients than are kept ask now and then, each has to connect
     * anew.
     */
    private void boundKept() {
        int keptAtMost = (int) (most * KEPT_PART);
        if (connections.size() > keptAtMost && !closing) {
            List<ClientConnection> kept =
                    connections.stream().filter(ClientConnection::isKeptIdle).toList();
            if (kept.size() > keptAtMost) {
                closing(
                        kept.stream()
                                        .min(
                                                (a, b) ->
                                                        Long.signum(
                                                                a.stateSinceNanos()
                                                                        - b.stateSinceNanos()))
                                        .orElseThrow()
                                ::closeIfIdle);
            }
        }
    }

    /**
     * Danger: what is to be closed is read first, and what is read may be answered at once, which
     * leads here again; from connection to connection, as deep as there are many.
     */
    private void closing(Runnable what) {
        closing = true;
        try {
            what.run();
        } finally {
            closing = false;
        }
    }

    /** An answer waits for its client to read: over the bound, what has waited longest goes. */
    void unread() {
        long unread = connections.stream().mapToLong(each -> each.output().bytes()).sum();
        while (unread > MOST_UNREAD) {
            // What flows is bounded by itself: there is little of each, and its source waits.
            WriteBacklog longest =
                    connections.stream()
                            .map(ClientConnection::output)
                            .filter(WriteBacklog::waits)
                            .min((a, b) -> Long.signum(a.since() - b.since()))
                            .orElse(null);
            if (longest == null) {
                return;
            }
            unread -= longest.bytes();
            longest.cutOff();
        }
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        bound(connection);
        endWhenDrained();
    }

    /**
     * Danger: out of descriptors, accepting fails over and over, and upstreams can't be reached
     * either.
     */
    private void bound(ClientConnection connection) {
        backlog.changed();
    }

    private boolean hasRoom() {
        return connections.size() <= most;
    }

    /**
     * No descriptor was left, though the cap leaves room for some: a connection that can be spared
     * makes place, and what waits is tried again soon. Danger: tried again at once, it would take
     * the loop's time.
     */
    private void acceptFailed() {
        listener.config().setAutoRead(false);
        int before = connections.size();
        if (!closing) {
            closing(
                    () -> {
                        while (connections.size() == before && spareOne()) {
                            continue;
                        }
                    });
        }
        loop.after(millis(ACCEPT_AGAIN_MILLIS), backlog::accept);
    }

    /** Danger: connections that say nothing, or no more, would shut those out that ask. */
    private void makeRoom() {
        if (!closing && connections.size() > most) {
            closing(
                    () -> {
                        while (connections.size() > most && spareOne()) {
                            continue;
                        }
                    });
        }
    }

    /** False if there is none to spare. */
    private boolean spareOne() {
        long now = loop.nanoTime();
        ClientConnection spared = null;
        int most = 0;
        for (ClientConnection each : connections) {
            int spare = each.evictionPriority(now).ordinal();
            if (spare > most
                    || spare == most
                            && spare > 0
                            && each.stateSinceNanos() - spared.stateSinceNanos() < 0) {
                spared = each;
                most = spare;
            }
        }
        if (spared != null && spared.evict()) {
            logClosed("evicted");
            connections.remove(spared);
        }
        return spared != null;
    }

    private void sweep() {
        exchanges.tick();
        long now = loop.nanoTime();
        monitor.tick(now);
        for (ClientConnection each : List.copyOf(connections)) {
            each.expire(now, times);
        }
        makeRoom();
        backlog.tellWhoWaits();
    }

    /**
     * Ends the service. Where the platform holds the listening socket, another process accepts from
     * it already or will: nothing more is accepted, each answer is the last one on its connection,
     * and connections on which nothing is asked any more are ended soon, so that all of it is over
     * early. Else see {@link #drainAlone}.
     *
     * @param toldAgo nanoseconds since the process was told to end: SIGKILL does not wait for a
     *     late loop
     */
    public void drain(long toldAgo, Runnable whenDrained) {
        draining = true;
        drained = whenDrained;
        long toldAt = loop.nanoTime() - toldAgo;
        DrainSchedule schedule = DrainSchedule.of(exchanges.longestDeadlineNanos());
        exchanges.endRequestsBy(toldAt + schedule.end());
        logDrain(
                "begun told_ago_ms="
                        + TimeUnit.NANOSECONDS.toMillis(toldAgo)
                        + " end_ms="
                        + TimeUnit.NANOSECONDS.toMillis(schedule.end()));
        if (held) {
            backlog.stop();
            lastCall = true;
            loop.scheduleAt(
                    toldAt + millis(KEPT_AFTER_TERM_MILLIS),
                    () -> List.copyOf(connections).forEach(ClientConnection::shutDownIfIdle));
        } else {
            drainAlone(toldAt, schedule);
        }
        // What is due at the end is answered at the end; what is still open then never ends, and is
        // not
        // waited for.
        loop.scheduleAt(
                toldAt + schedule.end() + millis(SETTLE_MILLIS),
                () -> {
                    logDrain("ended");
                    List.copyOf(connections).forEach(ClientConnection::closeUnlessRequestOpen);
                });
        endWhenDrained();
    }

    /**
     * Clients go on using the connections that they have, and new ones soon go elsewhere: accepting
     * ends soon, while connections are served for as long as SIGKILL is known not to come. The
     * sidecar that could take them over may just be starting, and where both are away, all requests
     * fail. This covers whatever makes another sidecar late or leaves none. Danger: where SIGKILL
     * came sooner than told, or clients waited for the end before they went elsewhere, it would
     * cost more than it saves.
     */
    private void drainAlone(long toldAt, DrainSchedule schedule) {
        loop.scheduleAt(toldAt + schedule.acceptsUntil(), () -> backlog.end(this::endWhenDrained));
        loop.scheduleAt(
                toldAt + schedule.lastCall(),
                () -> {
                    logDrain("last_call");
                    lastCall = true;
                    List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
                    endWhenDrained();
                });
    }

    /** A client's connection is closed from this side, and why. */
    void logClosed(String reason) {
        loop.log()
                .event(
                        LogEvent.CLIENT_CONNECTION_CLOSED,
                        () ->
                                "reason="
                                        + reason
                                        + " connections="
                                        + connections.size()
                                        + " most="
                                        + most);
    }

    private void logDrain(String step) {
        loop.log()
                .event(
                        LogEvent.DRAIN,
                        () ->
                                "step="
                                        + step
                                        + " connections="
                                        + connections.size()
                                        + " open="
                                        + exchanges.inFlightCounts().openRequests());
    }

    /** What is known of stalls and spins of the event loop. */
    public EventLoopMonitor monitor() {
        return monitor;
    }

    /** Times since the start that accepting was paused or resumed. */
    public long acceptGateChanges() {
        return backlog.changes();
    }

    /** Connections of clients that are open. */
    public int connections() {
        return connections.size();
    }

    /** Ends at once, whatever is open. */
    public void close() {
        sweeper.cancel();
        stallTicks.cancel();
        if (held) {
            backlog.stop();
        } else {
            listener.close();
        }
        List.copyOf(connections).forEach(ClientConnection::close);
    }

    private void endWhenDrained() {
        if (isDrained() && !settling) {
            // Danger: the system's listening socket ends only when the loop next looks for events.
            // What
            // connects before would be reset by the process's end, so the loop gets to look first;
            // and what
            // it finds, or had been told to take over, has to be gone again too.
            settling = true;
            loop.after(
                    millis(SETTLE_MILLIS),
                    () -> {
                        settling = false;
                        if (isDrained()) {
                            Runnable told = drained;
                            drained = null;
                            told.run();
                        }
                    });
        }
    }

    private boolean isDrained() {
        return draining && (held || !listener.isOpen()) && connections.isEmpty() && drained != null;
    }
}
