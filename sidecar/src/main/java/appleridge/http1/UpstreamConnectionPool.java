package appleridge.http1;

import appleridge.loadbalancing.Outcome;
import appleridge.request.BufferBudget;
import appleridge.request.BufferKind;
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
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Pools keep-alive connections to the upstreams, with one request at a time on each. Reports how an
 * attempt ended as the {@link Outcome} that the socket proves, and never retries. Event loop only.
 */
public final class UpstreamConnectionPool implements UpstreamTransport {
    /**
     * The fraction of the upstreams' idle timeout after which idle connections are closed here. A
     * request written while the upstream closes the connection ends with a reset, after which it
     * may have run.
     */
    private static final double USABLE_IDLE_FRACTION = 0.6;

    private final SidecarEventLoop loop;
    private final SocketFactory sockets;
    private final Connector connector;
    private final long maxIdleNanos;
    private final int maxConnections;
    private final Map<Endpoint, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();
    private final BufferBudget responseBuffers;
    private final long maxUnsentBytes;

    /** Accounts of the upstreams for which bytes of responses are buffered. */
    private final Map<Endpoint, BufferBudget.Account> accounts = new HashMap<>();

    /** Connections to which a request is written that the kernel has not accepted yet. */
    private final Set<UpstreamConnection> unsent = new LinkedHashSet<>();

    private final SidecarEventLoop.ScheduledTask staleCheck;

    /** The part of {@code maxConnections} that this process may use beside another one. */
    private int connectionLimit;

    private int connectionCount;

    /**
     * Creates an empty pool and starts its periodic check for stale connections.
     *
     * @param connectTimeoutNanos the time after which a connect has failed
     * @param hostIdleTimeoutNanos the time after which an upstream closes an idle connection
     * @param readStallNanos how long a response may stall once it has begun
     * @param maxConnections the maximum number of connections to all upstreams together
     * @param buffers the budgets of what is buffered for upstreams
     */
    public UpstreamConnectionPool(
            SidecarEventLoop loop,
            SocketFactory sockets,
            long connectTimeoutNanos,
            long hostIdleTimeoutNanos,
            long readStallNanos,
            int maxConnections,
            BufferBudgets buffers) {
        this.loop = loop;
        this.sockets = sockets;
        this.maxIdleNanos = (long) (hostIdleTimeoutNanos * USABLE_IDLE_FRACTION);
        this.maxConnections = maxConnections;
        this.connectionLimit = maxConnections;
        this.responseBuffers = buffers.responses();
        this.maxUnsentBytes = buffers.limits().unsentBytes();
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
     * Sends a request. The message is created once there is a connection, with the time remaining
     * then as its deadline.
     */
    @Override
    public AttemptHandle send(
            Endpoint endpoint,
            UpstreamRequest request,
            SendDeadlines deadlines,
            AttemptListener listener) {
        UpstreamCall call = new UpstreamCall((HttpUpstreamRequest) request, deadlines, listener);
        findConnection(endpoint, call);
        return call;
    }

    private void findConnection(Endpoint endpoint, UpstreamCall call) {
        UpstreamConnection pooled = takeIdle(endpoint);
        if (pooled != null) {
            sendOn(pooled, call);
        } else if (connectionCount >= connectionLimit && !evictIdle()) {
            loop.execute(() -> call.end(Outcome.NEVER_SENT, null));
        } else {
            connect(endpoint, call);
        }
    }

    private void connect(Endpoint endpoint, UpstreamCall call) {
        connectionCount++;
        call.setConnecting(
                connector.connect(
                        endpoint.address(),
                        new Connector.Listener() {
                            @Override
                            public void onConnected(Channel channel) {
                                channel.closeFuture().addListener(closed -> connectionCount--);
                                if (call.onConnected()) {
                                    sendOn(
                                            channel.pipeline()
                                                    .get(UpstreamConnection.class)
                                                    .open(endpoint),
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

                            /** Not a failed connect, which would eject a healthy upstream. */
                            @Override
                            public void onSocketUnavailable(Throwable cause) {
                                connectionCount--;
                                loop.log()
                                        .warning(
                                                "cannot open a socket for an upstream connection: "
                                                        + cause.getMessage());
                                call.end(Outcome.NEVER_SENT, null);
                            }
                        }));
    }

    /**
     * Sends a request, unless its deadline has passed while the connection was opened, or it may
     * not begin yet: then the connection is free for others.
     */
    private void sendOn(UpstreamConnection connection, UpstreamCall call) {
        if (!call.mayWriteFirstByte(loop.nanoTime())) {
            connection.keep();
            loop.execute(() -> call.end(Outcome.NEVER_SENT, null));
        } else if (call.mayBegin(() -> resume(connection.endpoint(), call))) {
            connection.send(call);
        } else {
            connection.keep();
        }
    }

    private void resume(Endpoint endpoint, UpstreamCall call) {
        if (!call.hasEnded()) {
            findConnection(endpoint, call);
        }
    }

    /**
     * Takes the most recently used idle connection, so that the others reach their idle timeout.
     * Returns null if there is none.
     */
    private UpstreamConnection takeIdle(Endpoint endpoint) {
        ArrayDeque<UpstreamConnection> idleToHost = idle.get(endpoint);
        while (idleToHost != null && !idleToHost.isEmpty()) {
            UpstreamConnection connection = idleToHost.pop();
            if (connection.isQuiet()
                    && loop.nanoTime() - connection.idleSinceNanos() < maxIdleNanos) {
                return connection;
            }
            closeIdle(connection);
        }
        return null;
    }

    SidecarEventLoop loop() {
        return loop;
    }

    EventLog log() {
        return loop.log();
    }

    /** Reads pending input of a connection from its socket at once. */
    void readNow(Channel channel) {
        sockets.readNow(channel);
    }

    /**
     * Sets this process's share of the connections while another process of this sidecar runs.
     *
     * @param fraction the fraction of the connection limit that this process may use
     */
    public void setConnectionShare(double fraction) {
        connectionLimit = Math.max(1, (int) (maxConnections * fraction));
        while (connectionCount > connectionLimit && evictIdle()) {
            continue;
        }
    }

    /** The number of connections that are open or being opened. */
    public int connectionCount() {
        return connectionCount;
    }

    /** Makes an idle connection available to the next request. */
    void release(UpstreamConnection connection) {
        idle.computeIfAbsent(connection.endpoint(), key -> new ArrayDeque<>()).push(connection);
    }

    /** Creates an empty reservation for a response of an upstream. */
    BufferBudget.Reservation reserveResponse(Endpoint endpoint) {
        return accounts.computeIfAbsent(endpoint, key -> responseBuffers.newAccount())
                .reserve(BufferKind.PARTIAL_RESPONSES);
    }

    /** Releases a reservation, if there is one, and forgets an account that nothing is left in. */
    void releaseResponse(Endpoint endpoint, BufferBudget.Reservation reserved) {
        if (reserved == null) {
            return;
        }
        reserved.release();
        BufferBudget.Account account = accounts.get(endpoint);
        if (account != null && account.isEmpty()) {
            accounts.remove(endpoint);
        }
    }

    /**
     * Bounds the requests that are written but not accepted by the kernel, after one has been
     * written. The attempt on a connection that is closed for this was not executed, because its
     * last byte was not sent.
     */
    void onWritten(UpstreamConnection connection) {
        if (connection.writeBacklog().isPending()) {
            unsent.removeIf(each -> !each.writeBacklog().isPending());
            unsent.add(connection);
            WriteBacklogLimit.enforce(
                    unsent,
                    UpstreamConnection::writeBacklog,
                    maxUnsentBytes,
                    each -> each.close(UpstreamCloseReason.UNSENT_LIMIT));
        }
    }

    /** The number of request bytes that are written and wait for upstreams to read. */
    public long unsentBytes() {
        return WriteBacklogLimit.pendingBytes(unsent, UpstreamConnection::writeBacklog);
    }

    /** Removes a connection that has closed or is about to. */
    void onClosed(UpstreamConnection connection) {
        unsent.remove(connection);
        ArrayDeque<UpstreamConnection> idleToHost = idle.get(connection.endpoint());
        if (idleToHost != null && idleToHost.remove(connection) && idleToHost.isEmpty()) {
            idle.remove(connection.endpoint());
        }
    }

    @Override
    public void closeIdleConnections(Endpoint endpoint) {
        ArrayDeque<UpstreamConnection> idleToHost = idle.remove(endpoint);
        if (idleToHost != null) {
            idleToHost.forEach(each -> each.close(UpstreamCloseReason.UNSENT_LIMIT));
        }
    }

    /** Closes idle connections and stops checking for stale ones. */
    public void close() {
        staleCheck.cancel();
        idle.values().forEach(idleToHost -> idleToHost.forEach(UpstreamConnectionPool::closeIdle));
        idle.clear();
    }

    private void closeStale() {
        long now = loop.nanoTime();
        idle.values()
                .removeIf(
                        idleToHost -> {
                            while (!idleToHost.isEmpty()
                                    && now - idleToHost.peekLast().idleSinceNanos()
                                            >= maxIdleNanos) {
                                closeIdle(idleToHost.pollLast());
                            }
                            return idleToHost.isEmpty();
                        });
    }

    private static void closeIdle(UpstreamConnection connection) {
        connection.close(UpstreamCloseReason.CANCELLED);
    }

    /** Closes the longest idle connection. Returns false if all are in use. */
    private boolean evictIdle() {
        UpstreamConnection oldest = null;
        for (ArrayDeque<UpstreamConnection> idleToHost : idle.values()) {
            UpstreamConnection last = idleToHost.peekLast();
            if (last != null
                    && (oldest == null || last.idleSinceNanos() - oldest.idleSinceNanos() < 0)) {
                oldest = last;
            }
        }
        if (oldest == null) {
            return false;
        }
        onClosed(oldest);
        closeIdle(oldest);
        return true;
    }
}
