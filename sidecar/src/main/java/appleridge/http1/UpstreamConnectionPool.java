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
 * Keep-alive connections to the upstreams, one request at a time on each. How an attempt ended is
 * reported as the {@link Outcome} that the socket proves; nothing is ever retried here. Loop thread
 * only.
 */
public final class UpstreamConnectionPool implements UpstreamTransport {
    /**
     * Of the time after which upstreams close idle connections, the part after which they are
     * closed here: a request written to one that is just being closed ends as a reset and may have
     * run.
     */
    private static final double USABLE_IDLE_FRACTION = 0.6;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final Connector connector;
    private final long maxIdleNanos;
    private final int maxConnections;
    private final Map<Endpoint, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();
    private final SidecarEventLoop.ScheduledTask staleCheck;

    /** Of the cap, what it may hold beside another process. */
    private int connectionLimit;

    private int connectionCount;

    /**
     * For one sidecar.
     *
     * @param connectTimeoutNanos after which a connect has failed
     * @param hostIdleTimeoutNanos after which an upstream closes an idle connection
     * @param readStallNanos for which a response may pause once it has begun
     * @param maxConnections connections at once, to all upstreams together
     */
    public UpstreamConnectionPool(
            SidecarEventLoop loop,
            SocketFactory sockets,
            long connectTimeoutNanos,
            long hostIdleTimeoutNanos,
            long readStallNanos,
            int maxConnections) {
        this.loop = loop;
        this.sockets = sockets;
        this.maxIdleNanos = (long) (hostIdleTimeoutNanos * USABLE_IDLE_FRACTION);
        this.maxConnections = maxConnections;
        this.connectionLimit = maxConnections;
        this.connector =
                new Connector(
                        loop,
                        sockets,
                        connectTimeoutNanos,
                        channel -> UpstreamConnection.install(channel, this, readStallNanos));
        this.staleCheck =
                loop.scheduleAtFixedDelay(Math.max(1, maxIdleNanos / 8), this::closeStale);
    }

    /**
     * Sends a request; the message is made when there is a connection, with the time that is left
     * then.
     */
    @Override
    public AttemptHandle send(
            Endpoint to, UpstreamRequest what, SendDeadlines deadlines, AttemptListener listener) {
        UpstreamCall call = new UpstreamCall((HttpUpstreamRequest) what, deadlines, listener);
        UpstreamConnection pooled = takeIdle(to);
        if (pooled != null) {
            sendOn(pooled, call);
        } else if (connectionCount >= connectionLimit && !evictIdle()) {
            loop.execute(() -> call.end(Outcome.NEVER_SENT, null));
        } else {
            connect(to, call);
        }
        return call;
    }

    private void connect(Endpoint to, UpstreamCall call) {
        connectionCount++;
        call.connecting(
                connector.connect(
                        to.address(),
                        new Connector.Listener() {
                            @Override
                            public void onConnected(Channel channel) {
                                channel.closeFuture().addListener(closed -> connectionCount--);
                                if (call.onConnected()) {
                                    sendOn(
                                            channel.pipeline()
                                                    .get(UpstreamConnection.class)
                                                    .open(to),
                                            call);
                                } else {
                                    channel.close();
                                }
                            }

                            @Override
                            public void onConnectFailed(Throwable cause) {
                                connectionCount--;
                                call.end(Outcome.CONNECT_FAILED, null);
                            }

                            /**
                             * Not reported as a failed connect, which would eject a healthy
                             * upstream.
                             */
                            @Override
                            public void onSocketUnavailable(Throwable cause) {
                                connectionCount--;
                                loop.log()
                                        .warning(
                                                "no socket for an upstream: " + cause.getMessage());
                                call.end(Outcome.NEVER_SENT, null);
                            }
                        }));
    }

    /** Sends it unless its time has passed while the connection was opened. */
    private void sendOn(UpstreamConnection connection, UpstreamCall call) {
        if (call.mayWriteFirstByte(loop.nanoTime())) {
            connection.send(call);
        } else {
            connection.keep();
            loop.execute(() -> call.end(Outcome.NEVER_SENT, null));
        }
    }

    /** The most recently used one, so that the others reach their idle timeout; null for none. */
    private UpstreamConnection takeIdle(Endpoint endpoint) {
        ArrayDeque<UpstreamConnection> all = idle.get(endpoint);
        while (all != null && !all.isEmpty()) {
            UpstreamConnection connection = all.pop();
            if (connection.isQuiet()
                    && loop.nanoTime() - connection.idleSinceNanos() < maxIdleNanos) {
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
     * Sets what it may hold beside another process of this sidecar.
     *
     * @param part of the connections that it may hold alone
     */
    public void setConnectionShare(double part) {
        connectionLimit = Math.max(1, (int) (maxConnections * part));
        while (connectionCount > connectionLimit && evictIdle()) {
            continue;
        }
    }

    /** Connections that are open or being opened. */
    public int connectionCount() {
        return connectionCount;
    }

    /** Offers an idle connection to the next request. */
    void release(UpstreamConnection connection) {
        idle.computeIfAbsent(connection.endpoint(), endpoint -> new ArrayDeque<>())
                .push(connection);
    }

    /** A connection has closed, or is about to. */
    void onClosed(UpstreamConnection connection) {
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

    /** Closes idle connections and stops checking for stale ones. */
    public void close() {
        staleCheck.cancel();
        idle.values().forEach(all -> all.forEach(UpstreamConnection::close));
        idle.clear();
    }

    private void closeStale() {
        long now = loop.nanoTime();
        idle.values()
                .removeIf(
                        all -> {
                            while (!all.isEmpty()
                                    && now - all.peekLast().idleSinceNanos() >= maxIdleNanos) {
                                all.pollLast().close();
                            }
                            return all.isEmpty();
                        });
    }

    /** Closes the longest idle connection; returns false if every one is in use. */
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
        onClosed(oldest);
        oldest.close();
        return true;
    }
}
