package appleridge.daemon;

import appleridge.config.Config;
import appleridge.http1.ClientServer;
import appleridge.http1.ClientTimes;
import appleridge.http1.RequestReader;
import appleridge.http1.UpstreamPool;
import appleridge.loadbalancing.Balancer.RequestClass;
import appleridge.loadbalancing.Balancer.Settings;
import appleridge.request.Exchanges;
import appleridge.transport.Loop;
import appleridge.transport.Sockets;
import java.util.concurrent.TimeUnit;

/**
 * What one set of upstreams is served by: a decision module, its connections, and the clients'
 * front.
 */
final class Service {
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

    final UpstreamPool pool;
    final Exchanges exchanges;
    final ClientServer server;

    Service(
            Loop loop,
            Sockets sockets,
            Config config,
            Size size,
            ClientTimes times,
            ModuleFactory module) {
        Settings settings = config.settings();
        pool =
                new UpstreamPool(
                        loop,
                        sockets,
                        settings.allowed().connectTimeout(),
                        config.connIdle(),
                        stall(settings),
                        size.upstreams);
        exchanges =
                new Exchanges(
                        loop,
                        loop,
                        settings,
                        config.maxOpen(),
                        pool,
                        loop.log(),
                        actions -> module.make(settings, config.seed(), actions));
        server =
                new ClientServer(
                        loop, sockets, exchanges, new RequestReader(config), size.clients, times);
    }

    /**
     * Nanoseconds for which an answer may pause once it has begun: long enough for a loss to be
     * mended, and for a server that writes in pieces. Where aims are shorter an answer that pauses
     * for so long is late, but another attempt costs its server as much again, and is made for each
     * piece that is slow.
     */
    static long stall(Settings settings) {
        long aim = settings.classes().stream().mapToLong(RequestClass::aim).min().orElseThrow();
        return Math.max(aim / STALL_PART, OUTLASTS_A_LOSS);
    }

    /** Ends at once, whatever is open. */
    void close() {
        exchanges.close();
        server.close();
        pool.close();
    }
}
