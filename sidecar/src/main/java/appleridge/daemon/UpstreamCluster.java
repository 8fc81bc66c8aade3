package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.http1.BufferBudgets;
import appleridge.http1.ClientListener;
import appleridge.http1.RequestParser;
import appleridge.http1.UpstreamConnectionPool;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.request.RequestCoordinator;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import java.util.concurrent.TimeUnit;

/**
 * The parts that serve one set of upstream hosts: the pool of connections to them, the request
 * coordinator with its load-balancing policy, and the client listener. Event loop only.
 */
final class UpstreamCluster {
    /** The longest pause within a response is the shortest latency objective divided by this. */
    private static final int PAUSES_PER_OBJECTIVE = 5;

    /**
     * Lower bound of the longest pause within a response. If no later segment reveals a loss, TCP
     * retransmits the lost segment after 200 ms at the earliest; a shorter pause would reset
     * connections whose response is still on its way.
     */
    private static final long MIN_RESPONSE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * The highest numbers of connections that may be open at once.
     *
     * @param clients client connections
     * @param upstreams connections to upstream hosts
     */
    record ConnectionLimits(int clients, int upstreams) {}

    final UpstreamConnectionPool connectionPool;
    final RequestCoordinator coordinator;
    final ClientListener listener;
    final BufferBudgets buffers;

    UpstreamCluster(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            ConnectionLimits limits,
            RuntimeOptions options,
            PolicyFactory policyFactory) {
        PolicySettings settings = config.settings();
        buffers = BufferBudgets.of(options.bufferLimits(), loop.log());
        connectionPool =
                new UpstreamConnectionPool(
                        loop,
                        sockets,
                        settings.capabilities().connectTimeoutNanos(),
                        config.upstreamIdleTimeoutNanos(),
                        maxResponsePauseNanos(settings),
                        limits.upstreams,
                        buffers);
        coordinator =
                new RequestCoordinator(
                        loop,
                        loop,
                        settings,
                        config.maxOpenRequests(),
                        connectionPool,
                        loop.log(),
                        actions -> policyFactory.create(settings, config.seed(), actions));
        listener =
                new ClientListener(
                        loop,
                        sockets,
                        coordinator,
                        new RequestParser(config),
                        limits.clients,
                        options.clientTimeouts(),
                        buffers);
    }

    /**
     * Returns how long a response may pause once it has begun: long enough for TCP to retransmit a
     * lost segment and for a host that writes its response in pieces. If the latency objectives are
     * shorter than that, a response that pauses this long is late; it is still not given up sooner,
     * because a further attempt for each slow piece would cost the host as much again.
     */
    static long maxResponsePauseNanos(PolicySettings settings) {
        long objectiveNanos =
                settings.classes().stream()
                        .mapToLong(RequestClass::latencyObjectiveNanos)
                        .min()
                        .orElseThrow();
        return Math.max(objectiveNanos / PAUSES_PER_OBJECTIVE, MIN_RESPONSE_PAUSE_NANOS);
    }

    /** Closes everything at once, including open requests. */
    void close() {
        coordinator.close();
        listener.close();
        connectionPool.close();
    }
}
