package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.Endpoint;
import appleridge.request.EventLog;
import appleridge.request.SendDeadlines;
import appleridge.request.UpstreamRequest;
import appleridge.request.UpstreamTransport;
import appleridge.transport.Connector;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Keep-alive connections to the upstreams, one request at a time on each. What happened to a
 * request is told as an {@link Outcome} that the socket proves; nothing is ever sent a second time
 * here.
 */
public final class UpstreamConnectionPool implements UpstreamTransport {
    /**
     * Danger: a request written to a connection that the upstream is just closing ends as a reset
     * that may have run. Idle ones are closed after this part of the time that upstreams grant.
     */
    private static final double IDLE_PART = 0.6;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final Connector connector;
    private final long maxIdle;
    private final int maxConnections;
    private final Map<Endpoint, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();
    private final SidecarEventLoop.ScheduledTask sweeper;

    /** Of those, what it may hold now. */
    private int most;

    private int connections;

    /**
     * With times in nanoseconds.
     *
     * @param connIdle after which an upstream closes a connection on which nothing is open
     * @param stall for which an answer may pause once it has begun
     * @param maxConnections connections at once, to all upstreams together
     */
    public UpstreamConnectionPool(
            SidecarEventLoop loop,
            SocketFactory sockets,
            long connectTimeout,
            long connIdle,
            long stall,
            int maxConnections) {
        this.loop = loop;
        this.sockets = sockets;
        this.maxIdle = (long) (connIdle * IDLE_PART);
        this.maxConnections = maxConnections;
        this.most = maxConnections;
        this.connector =
                new Connector(
                        loop,
                        sockets,
                        connectTimeout,
                        channel -> UpstreamConnection.install(channel, this, stall));
        this.sweeper = loop.every(Math.max(1, maxIdle / 8), this::closeStale);
    }

    /**
     * Sends a request; it is made when a connection is there, so that it can tell the time that is
     * left.
     */
    @Override
    public AttemptHandle send(
            Endpoint to, UpstreamRequest what, SendDeadlines window, AttemptListener listener) {
        UpstreamCall exchange = new UpstreamCall((HttpUpstreamRequest) what, window, listener);
        UpstreamConnection pooled = takeIdle(to);
        if (pooled != null) {
            carry(pooled, exchange);
        } else if (connections >= most && !evictIdle()) {
            loop.execute(() -> exchange.end(Outcome.NEVER_SENT, null));
        } else {
            connect(to, exchange);
        }
        return exchange;
    }

    private void connect(Endpoint to, UpstreamCall exchange) {
        connections++;
        exchange.connecting(
                connector.connect(
                        to.address(),
                        new Connector.Listener() {
                            @Override
                            public void connected(Channel channel) {
                                channel.closeFuture().addListener(closed -> connections--);
                                if (exchange.connected()) {
                                    carry(
                                            channel.pipeline()
                                                    .get(UpstreamConnection.class)
                                                    .open(to),
                                            exchange);
                                } else {
                                    channel.close();
                                }
                            }

                            @Override
                            public void failed(Throwable cause) {
                                connections--;
                                exchange.end(Outcome.CONNECT_FAILED, null);
                            }

                            /**
                             * Danger: told as a failed connect, it would shut a healthy upstream
                             * out.
                             */
                            @Override
                            public void noSocket(Throwable cause) {
                                connections--;
                                loop.log()
                                        .warning(
                                                "no socket for an upstream: " + cause.getMessage());
                                exchange.end(Outcome.NEVER_SENT, null);
                            }
                        }));
    }

    /** Danger: connecting took time, and what might be sent when it began may not be any more. */
    private void carry(UpstreamConnection connection, UpstreamCall exchange) {
        if (exchange.mayBegin(loop.nanoTime())) {
            connection.send(exchange);
        } else {
            connection.keep();
            loop.execute(() -> exchange.end(Outcome.NEVER_SENT, null));
        }
    }

    /** The most recently used one: the others grow old and leave the upstream's table. */
    private UpstreamConnection takeIdle(Endpoint endpoint) {
        ArrayDeque<UpstreamConnection> all = idle.get(endpoint);
        while (all != null && !all.isEmpty()) {
            UpstreamConnection connection = all.pop();
            if (connection.isQuiet() && loop.nanoTime() - connection.idleSinceNanos() < maxIdle) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    SidecarEventLoop loop() {
        return loop;
    }

    EventLog log() {
        return loop.log();
    }

    /** Reads at once what the system holds for a connection. */
    void readNow(Channel channel) {
        sockets.readNow(channel);
    }

    /**
     * What it may use beside another process of this sidecar, of the connections that it may hold
     * alone.
     */
    public void share(double part) {
        most = Math.max(1, (int) (maxConnections * part));
        while (connections > most && evictIdle()) {
            continue;
        }
    }

    /** Connections there are or that are being opened. */
    public int connections() {
        return connections;
    }

    void release(UpstreamConnection connection) {
        idle.computeIfAbsent(connection.endpoint(), endpoint -> new ArrayDeque<>())
                .push(connection);
    }

    void closed(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> all = idle.get(connection.endpoint());
        if (all != null && all.remove(connection) && all.isEmpty()) {
            idle.remove(connection.endpoint());
        }
    }

    @Override
    public void closeIdleConnections(Endpoint endpoint) {
        ArrayDeque<UpstreamConnection> all = idle.remove(endpoint);
        if (all != null) {
            all.forEach(UpstreamConnection::close);
        }
    }

    /** Closes what is idle and stops looking after it. */
    public void close() {
        sweeper.cancel();
        idle.values().forEach(all -> all.forEach(UpstreamConnection::close));
        idle.clear();
    }

    private void closeStale() {
        long now = loop.nanoTime();
        idle.values()
                .removeIf(
                        all -> {
                            while (!all.isEmpty()
                                    && now - all.peekLast().idleSinceNanos() >= maxIdle) {
                                all.pollLast().close();
                            }
                            return all.isEmpty();
                        });
    }

    /** Makes room under the socket limit; false if every connection is in use. */
    private boolean evictIdle() {
        UpstreamConnection oldest = null;
        for (ArrayDeque<UpstreamConnection> all : idle.values()) {
            UpstreamConnection last = all.peekLast();
            if (last != null
                    && (oldest == null || last.idleSinceNanos() - oldest.idleSinceNanos() < 0)) {
                oldest = last;
            }
        }
        if (oldest == null) {
            return false;
        }
        closed(oldest);
        oldest.close();
        return true;
    }
}
