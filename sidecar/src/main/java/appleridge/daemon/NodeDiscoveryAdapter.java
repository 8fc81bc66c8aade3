package appleridge.daemon;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.loadbalancing.UpdateKind;
import appleridge.request.Scheduler;
import appleridge.transport.SidecarEventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Endpoint discovery from ephemeral ZooKeeper nodes, alone or merged with the registry's. Loaded
 * only where nodes are a source. Event loop only.
 *
 * <p>The registry's failed polls are repeated here: the load-balancing policy subscribes again when
 * it is notified of a failure and takes any update for the answer, so an update from the nodes
 * would end its polling of the registry.
 */
public final class NodeDiscoveryAdapter implements EndpointDiscovery {
    /** The ZooKeeper client, which notifies {@link NodeDiscovery} on the event loop. */
    public interface Client {
        /** Begins to connect. */
        void start();

        /** Hands on, before this returns, what has come and was not handed on. */
        void catchUp();

        /**
         * Sends a request of its own and runs a task on the event loop when that is answered: all
         * that the server had sent until then has been handed on. Never where no server answers; a
         * client that can't confirm does nothing.
         */
        default void confirm(Runnable whenConfirmed) {}

        /** Ends all that is open. */
        void close();
    }

    /** Updates that waited longer for the event loop are logged: new work went on by old ones. */
    private static final long SLOW_UPDATE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The first backoff is this part of the poll interval. */
    private static final int MIN_BACKOFFS_PER_POLL_INTERVAL = 40;

    private final SidecarEventLoop loop;
    private final SourceSelection merge;
    private final DiscoveryListener sink;
    private final EndpointDiscovery registry;
    private final NodeDiscovery membership;
    private final Client client;
    private final long tick;
    private final long minBackoffNanos;
    private final long maxBackoffNanos;
    private final SplittableRandom jitter;
    private Scheduler.ScheduledTask ticks = () -> {};
    private Scheduler.ScheduledTask resubscription = () -> {};
    private long backoffNanos;
    private boolean begun;
    private boolean caughtUp = true;
    private boolean updating;
    private long catchUps;

    /**
     * Makes both sources.
     *
     * @param pollIntervalNanos within which the registry has to be polled at least once
     * @param seed for the jitter of the backoff
     * @param registry makes the registry's source; where only nodes are a source it only gives the
     *     list that was cached before the start
     * @param client makes the ZooKeeper client
     */
    public NodeDiscoveryAdapter(
            SidecarEventLoop loop,
            SourceSelection merge,
            NodeDiscovery.Settings settings,
            long pollIntervalNanos,
            long seed,
            DiscoveryListener sink,
            Function<DiscoveryListener, EndpointDiscovery> registry,
            Function<NodeDiscovery, Client> client) {
        this.loop = loop;
        this.merge = merge;
        this.sink = sink;
        this.tick = settings.tickNanos();
        this.minBackoffNanos = Math.max(tick, pollIntervalNanos / MIN_BACKOFFS_PER_POLL_INTERVAL);
        this.maxBackoffNanos = Math.max(minBackoffNanos, pollIntervalNanos / 2);
        this.jitter = new SplittableRandom(seed);
        this.membership =
                new NodeDiscovery(
                        merge,
                        settings,
                        this::onNodesUpdate,
                        loop.log()::info,
                        loop.log()::warning);
        this.registry = registry.apply(this::onRegistryUpdate);
        this.client = client.apply(membership);
    }

    @Override
    public List<DiscoveredEndpoint> start() {
        List<DiscoveredEndpoint> known = registry.start();
        membership.onRegistryUpdate(loop.nanoTime(), UpdateKind.CACHED_SNAPSHOT, known);
        begun = true;
        client.start();
        ticks = loop.scheduleAtFixedDelay(tick, () -> membership.tick(loop.nanoTime()));
        return known;
    }

    private void onRegistryUpdate(UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.FAILURE) {
            backoffNanos = Math.min(maxBackoffNanos, Math.max(minBackoffNanos, 2 * backoffNanos));
            resubscription.cancel();
            resubscription =
                    loop.schedule(
                            backoffNanos / 2 + jitter.nextLong(backoffNanos / 2 + 1),
                            () -> registry.subscribe(true));
        } else {
            backoffNanos = 0;
            resubscription.cancel();
        }
        membership.onRegistryUpdate(loop.nanoTime(), kind, members);
    }

    private void onNodesUpdate(
            UpdateKind kind, List<DiscoveredEndpoint> members, String source, long readAtNanos) {
        if (!begun || kind == UpdateKind.FAILURE) {
            return;
        }
        long waited = loop.nanoTime() - readAtNanos;
        if (waited > SLOW_UPDATE_NANOS) {
            loop.log()
                    .warning(
                            "membership: news of the "
                                    + source
                                    + " waited "
                                    + waited / 1_000_000
                                    + " ms");
        }
        updating = true;
        try {
            sink.onUpdate(kind, members);
        } finally {
            updating = false;
        }
    }

    @Override
    public void subscribe(boolean on) {
        if (merge == SourceSelection.BOTH) {
            registry.subscribe(on);
        }
    }

    @Override
    public void fetchEndpoints() {
        if (merge == SourceSelection.BOTH) {
            registry.fetchEndpoints();
        }
    }

    /**
     * After a stall no update waits for the next tick. What came to the ZooKeeper client's threads
     * may not have come to the event loop, and where the whole process was stopped not even to
     * them, while the registry's updates are here already: so it is not caught up before the client
     * has confirmed.
     */
    @Override
    public void readPendingUpdates() {
        caughtUp = false;
        if (updating) {
            // Within an update: what is read now has to be handled behind it.
            loop.execute(this::readPendingUpdates);
            return;
        }
        registry.readPendingUpdates();
        client.catchUp();
        membership.tick(loop.nanoTime());
        long mine = ++catchUps;
        client.confirm(
                () -> {
                    if (mine == catchUps && !caughtUp) {
                        caughtUp = true;
                        sink.onUpdate(UpdateKind.DELTA, List.of());
                    }
                });
    }

    @Override
    public boolean isCaughtUp() {
        return caughtUp;
    }

    @Override
    public void switchRegistry(InetSocketAddress address) {
        registry.switchRegistry(address);
    }

    @Override
    public void close() {
        ticks.cancel();
        resubscription.cancel();
        client.close();
        registry.close();
    }

    /** The merged state of both sources. */
    public NodeDiscovery membership() {
        return membership;
    }
}
