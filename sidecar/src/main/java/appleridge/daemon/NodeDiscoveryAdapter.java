package appleridge.daemon;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.discovery.DiscoveryListener;
import appleridge.discovery.EndpointDiscovery;
import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.SourceSelection;
import appleridge.discovery.ephemeral.StalenessCause;
import appleridge.loadbalancing.UpdateKind;
import appleridge.request.Scheduler;
import appleridge.transport.SidecarEventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Endpoint discovery from ephemeral ZooKeeper nodes, alone or merged with the registry. Loaded only
 * if nodes are a source. Event loop only.
 *
 * <p>Failed registry polls are retried here. The load-balancing policy subscribes again after a
 * failure, but takes any update as the answer to that, so an update from the nodes would end its
 * polling of the registry.
 */
public final class NodeDiscoveryAdapter implements EndpointDiscovery {
    /** A ZooKeeper client that notifies {@link NodeDiscovery} on the event loop. */
    public interface Client {
        /** Starts to connect. */
        void start();

        /** Delivers all received but undelivered notifications before it returns. */
        void catchUp();

        /**
         * Sends a request and runs a task on the event loop once it is answered: by then all that
         * the server had sent before the answer has been delivered. The task never runs if no
         * server answers, nor with a client that can't confirm.
         */
        default void confirm(Runnable whenConfirmed) {}

        /** Closes the session and its connection. */
        void close();
    }

    /**
     * Updates that waited longer than this for the event loop are logged, because requests were
     * sent by an outdated list meanwhile.
     */
    private static final long SLOW_UPDATE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The poll interval divided by the shortest backoff. */
    private static final int MIN_BACKOFFS_PER_POLL_INTERVAL = 40;

    private final SidecarEventLoop loop;
    private final SourceSelection selection;
    private final DiscoveryListener listener;
    private final EndpointDiscovery registry;
    private final NodeDiscovery membership;
    private final Client client;
    private final long tickNanos;
    private final long minBackoffNanos;
    private final long maxBackoffNanos;
    private final SplittableRandom jitter;
    private Scheduler.ScheduledTask tickTask = () -> {};
    private Scheduler.ScheduledTask resubscribeTask = () -> {};
    private long backoffNanos;
    private boolean started;
    private boolean caughtUp = true;

    /** Since when the nodes' changes are not confirmed to be handled, unless caught up. */
    private long unconfirmedSinceNanos;

    private boolean registryStale;

    /** True while the listener handles an update. */
    private boolean updating;

    /** The number of catch-ups begun; identifies the latest one. */
    private long catchUpCount;

    /**
     * Creates the sources.
     *
     * @param selection which sources make the endpoint list
     * @param pollIntervalNanos the longest time between two polls of the registry
     * @param seed seeds the jitter of the backoff
     * @param listener receives the updates of the merged list
     * @param registryFactory creates the registry source; if only nodes are a source, it provides
     *     no more than the list cached before the start
     * @param clientFactory creates the ZooKeeper client
     */
    public NodeDiscoveryAdapter(
            SidecarEventLoop loop,
            SourceSelection selection,
            NodeDiscovery.Settings settings,
            long pollIntervalNanos,
            long seed,
            DiscoveryListener listener,
            Function<DiscoveryListener, EndpointDiscovery> registryFactory,
            Function<NodeDiscovery, Client> clientFactory) {
        this.loop = loop;
        this.selection = selection;
        this.listener = listener;
        this.tickNanos = settings.tickNanos();
        this.minBackoffNanos =
                Math.max(tickNanos, pollIntervalNanos / MIN_BACKOFFS_PER_POLL_INTERVAL);
        this.maxBackoffNanos = Math.max(minBackoffNanos, pollIntervalNanos / 2);
        this.jitter = new SplittableRandom(seed);
        this.membership =
                new NodeDiscovery(
                        selection,
                        settings,
                        this::onNodesUpdate,
                        loop.log()::info,
                        loop.log()::warning);
        this.registry = registryFactory.apply(this::onRegistryUpdate);
        this.client = clientFactory.apply(membership);
    }

    @Override
    public List<DiscoveredEndpoint> start() {
        List<DiscoveredEndpoint> cached = registry.start();
        membership.onRegistryUpdate(loop.nanoTime(), UpdateKind.CACHED_SNAPSHOT, cached);
        started = true;
        client.start();
        tickTask = loop.scheduleAtFixedDelay(tickNanos, () -> membership.tick(loop.nanoTime()));
        return cached;
    }

    private void onRegistryUpdate(UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.FAILURE) {
            backoffNanos = Math.min(maxBackoffNanos, Math.max(minBackoffNanos, 2 * backoffNanos));
            resubscribeTask.cancel();
            resubscribeTask =
                    loop.schedule(
                            backoffNanos / 2 + jitter.nextLong(backoffNanos / 2 + 1),
                            () -> registry.subscribe(true));
        } else {
            backoffNanos = 0;
            resubscribeTask.cancel();
        }
        membership.onRegistryUpdate(loop.nanoTime(), kind, members);
        notifyIfRegistryIsCurrentAgain();
    }

    /** An update that changes nothing is not published, and requests may wait for it. */
    private void notifyIfRegistryIsCurrentAgain() {
        boolean stale = registry.staleSinceNanos() != NOT_STALE;
        if (started && registryStale && !stale) {
            listener.onUpdate(UpdateKind.DELTA, List.of());
        }
        registryStale = stale;
    }

    private void onNodesUpdate(
            UpdateKind kind, List<DiscoveredEndpoint> members, String source, long readAtNanos) {
        if (!started || kind == UpdateKind.FAILURE) {
            return;
        }
        long waitedNanos = loop.nanoTime() - readAtNanos;
        if (waitedNanos > SLOW_UPDATE_NANOS) {
            loop.log()
                    .warning(
                            "membership: an update from the "
                                    + source
                                    + " waited "
                                    + TimeUnit.NANOSECONDS.toMillis(waitedNanos)
                                    + " ms for the event loop");
        }
        updating = true;
        try {
            listener.onUpdate(kind, members);
        } finally {
            updating = false;
        }
    }

    @Override
    public void subscribe(boolean on) {
        if (selection == SourceSelection.BOTH) {
            registry.subscribe(on);
        }
    }

    @Override
    public void fetchEndpoints() {
        if (selection == SourceSelection.BOTH) {
            registry.fetchEndpoints();
        }
    }

    /**
     * Reads all updates that arrived during a stall, without waiting for the next tick. The
     * registry's updates are read at once. Notifications that the ZooKeeper client's threads
     * received may not have reached the event loop yet, and if the whole process was stopped, not
     * even those threads: so this source has not caught up until the client has confirmed.
     */
    @Override
    public void readPendingUpdates(long stalledSinceNanos) {
        unconfirmedSinceNanos =
                caughtUp ? stalledSinceNanos : Math.min(unconfirmedSinceNanos, stalledSinceNanos);
        caughtUp = false;
        if (updating) {
            // The listener is handling an update; updates read now must be handled after it.
            loop.execute(() -> readPendingUpdates(stalledSinceNanos));
            return;
        }
        registry.readPendingUpdates(stalledSinceNanos);
        client.catchUp();
        membership.tick(loop.nanoTime());
        long catchUp = ++catchUpCount;
        client.confirm(
                () -> {
                    if (catchUp == catchUpCount && !caughtUp) {
                        caughtUp = true;
                        listener.onUpdate(UpdateKind.DELTA, List.of());
                    }
                });
    }

    @Override
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * While the nodes are known to be unavailable, the last list of them stays in force: nothing
     * can have been received that is not handled.
     */
    @Override
    public long staleSinceNanos() {
        boolean nodesCurrent = caughtUp || membership.staleness() != StalenessCause.NONE;
        long nodesStaleSince = nodesCurrent ? NOT_STALE : unconfirmedSinceNanos;
        return selection == SourceSelection.BOTH
                ? Math.min(nodesStaleSince, registry.staleSinceNanos())
                : nodesStaleSince;
    }

    @Override
    public boolean isFailing() {
        return selection == SourceSelection.BOTH && registry.isFailing();
    }

    @Override
    public void switchRegistry(InetSocketAddress address) {
        registry.switchRegistry(address);
    }

    @Override
    public void close() {
        tickTask.cancel();
        resubscribeTask.cancel();
        client.close();
        registry.close();
    }

    /** Returns the merged state of the sources. */
    public NodeDiscovery membership() {
        return membership;
    }
}
