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
 * What one set of upstreams is served by: a decision module, its connections, and the clients'
 * front.
 */
final class UpstreamCluster {
    /**
     * A begun answer comes whole in moments; this part of the shortest aim leaves time for another.
     */
    private static final int STALL_PART = 5;

    /**
     * TCP sends a lost segment again after 200 ms at the soonest, where nothing behind it tells of
     * the loss. Danger: cut off before that, an answer that was on its way becomes a reset of our
     * own making.
     */
    private static final long OUTLASTS_A_LOSS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * How large it is made.
     *
     * @param clients connections of clients at once
     * @param upstreams connections to upstreams at once
     */
    record Size(int clients, int upstreams) {}

    final UpstreamConnectionPool pool;
    final RequestCoordinator exchanges;
    final ClientListener server;

    UpstreamCluster(
            SidecarEventLoop loop,
            SocketFactory sockets,
            SidecarConfig config,
            Size size,
            ClientTimeouts times,
            PolicyFactory module) {
        PolicySettings settings = config.settings();
        pool =
                new UpstreamConnectionPool(
                        loop,
                        sockets,
                        settings.capabilities().connectTimeoutNanos(),
                        config.upstreamIdleTimeoutNanos(),
                        stall(settings),
                        size.upstreams);
        exchanges =
                new RequestCoordinator(
                        loop,
                        loop,
                        settings,
                        config.maxOpenRequests(),
                        pool,
                        loop.log(),
                        actions -> module.make(settings, config.seed(), actions));
        server =
                new ClientListener(
                        loop, sockets, exchanges, new RequestParser(config), size.clients, times);
    }

    /**
     * Nanoseconds for which an answer may pause once it has begun: long enough for a loss to be
     * mended, and for a server that writes in pieces. Where aims are shorter an answer that pauses
     * for so long is late, but another attempt costs its server as much again, and is made for each
     * piece that is slow.
     */
    static long stall(PolicySettings settings) {
        long aim =
                settings.classes().stream()
                        .mapToLong(RequestClass::latencyObjectiveNanos)
                        .min()
                        .orElseThrow();
        return Math.max(aim / STALL_PART, OUTLASTS_A_LOSS);
    }

    /** Ends at once, whatever is open. */
    void close() {
        exchanges.close();
        server.close();
        pool.close();
    }
}
