package appleridge.daemon;

import appleridge.config.SidecarConfig;
import appleridge.http1.ClientListener;
import appleridge.http1.ClientTimeouts;
import appleridge.http1.RequestParser;
import appleridge.http1.UpstreamConnectionPool;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.request.RequestCoordinator;
import appleridge.transport.SidecarEventLoop;
import appleridge.transport.SocketFactory;
import java.util.concurrent.TimeUnit;

/**
 * What serves one set of upstream hosts: the connections to them, the request coordinator with its
 * policy, and the listener for clients. Event loop only.
 */
final class UpstreamCluster {
    /** A response may pause for this part of the shortest latency objective. */
    private static final int PAUSES_PER_OBJECTIVE = 5;

    /**
     * TCP retransmits a lost segment after 200 ms at the soonest, where no later segment shows the
     * loss. A response that is cut off before that was on its way, and its reset is of our making.
     */
    private static final long MIN_RESPONSE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * How many connections it may have at once.
     *
     * @param clients connections of clients
     * @param upstreams connections to upstream hosts
     */
    record ConnectionLimits(int clients, int upstreams) {}

    final UpstreamConnectionPool connectionPool;
    final RequestCoordinator coordinator;
    final ClientListener listener;

    UpstreamCluster(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            ConnectionLimits limits,
            ClientTimeouts timeouts,
            PolicyFactory policyFactory) {
        PolicySettings settings = config.settings();
        connectionPool =
                new UpstreamConnectionPool(
                        loop,
                        sockets,
                        settings.capabilities().connectTimeoutNanos(),
                        config.upstreamIdleTimeoutNanos(),
                        maxResponsePauseNanos(settings),
                        limits.upstreams);
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
                        timeouts);
    }

    /**
     * For how long a response may pause once it has begun: long enough for a lost segment to be
     * sent again, and for a host that writes in pieces. Where objectives are shorter, a response
     * that pauses for so long is late; but another attempt would cost its host as much again, for
     * each piece that is slow.
     */
    static long maxResponsePauseNanos(PolicySettings settings) {
        long objectiveNanos =
                settings.classes().stream()
                        .mapToLong(RequestClass::latencyObjectiveNanos)
                        .min()
                        .orElseThrow();
        return Math.max(objectiveNanos / PAUSES_PER_OBJECTIVE, MIN_RESPONSE_PAUSE_NANOS);
    }

    /** Ends at once, whatever is open. */
    void close() {
        coordinator.close();
        listener.close();
        connectionPool.close();
    }
}
