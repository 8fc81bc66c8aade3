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
 * The list from ephemeral nodes, alone or with the registry's. Loaded only where nodes are asked.
 * The decision module subscribes again when it is told of a failure, and takes any news for an
 * answer; with two sources the news of one would end its asking of the other, so the registry is
 * asked again from here.
 */
public final class NodeDiscoveryAdapter implements EndpointDiscovery {
    /** What talks to the coordination service, and tells {@link NodeDiscovery} on the loop. */
    public interface Client {
        /** Begins. */
        void start();

        /** Tells, before this returns, what has come and was not told yet. */
        void catchUp();

        /**
         * Asks the service for anything, and runs this on the loop when that is answered: all that
         * it had told until then has been told on. Never where no server answers; a client that
         * can't tell does nothing.
         */
        default void confirm(Runnable heard) {}

        /** Ends all that is open. */
        void close();
    }

    /**
     * News that waited for the loop for longer than this are worth a word: new work went on
     * meanwhile.
     */
    private static final long WAITED = TimeUnit.SECONDS.toNanos(1);

    private final SidecarEventLoop loop;
    private final SourceSelection merge;
    private final DiscoveryListener sink;
    private final EndpointDiscovery registry;
    private final NodeDiscovery membership;
    private final Client client;
    private final long tick;
    private final long leastWait;
    private final long mostWait;
    private final SplittableRandom jitter;
    private Scheduler.ScheduledTask ticks = () -> {};
    private Scheduler.ScheduledTask again = () -> {};
    private long wait;
    private boolean begun;
    private boolean caughtUp = true;
    private boolean telling;
    private long catchUps;

    /**
     * With the factories of the registry's source, which is followed where both are asked and else
     * only knows the list before the start, and of the client.
     *
     * @param askWithin nanoseconds in which the registry has to be asked at least once
     * @param seed for the jitter of asking again
     */
    public NodeDiscoveryAdapter(
            SidecarEventLoop loop,
            SourceSelection merge,
            NodeDiscovery.Settings settings,
            long askWithin,
            long seed,
            DiscoveryListener sink,
            Function<DiscoveryListener, EndpointDiscovery> registry,
            Function<NodeDiscovery, Client> client) {
        this.loop = loop;
        this.merge = merge;
        this.sink = sink;
        this.tick = settings.tick();
        this.leastWait = Math.max(tick, askWithin / 40);
        this.mostWait = Math.max(leastWait, askWithin / 2);
        this.jitter = new SplittableRandom(seed);
        this.membership =
                new NodeDiscovery(
                        merge, settings, this::told, loop.log()::info, loop.log()::warning);
        this.registry = registry.apply(this::registryTold);
        this.client = client.apply(membership);
    }

    @Override
    public List<DiscoveredEndpoint> start() {
        List<DiscoveredEndpoint> known = registry.start();
        membership.registry(loop.nanoTime(), UpdateKind.CACHED_SNAPSHOT, known);
        begun = true;
        client.start();
        ticks = loop.every(tick, () -> membership.tick(loop.nanoTime()));
        return known;
    }

    private void registryTold(UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.FAILURE) {
            wait = Math.min(mostWait, Math.max(leastWait, 2 * wait));
            again.cancel();
            again =
                    loop.after(
                            wait / 2 + jitter.nextLong(wait / 2 + 1),
                            () -> registry.subscribe(true));
        } else {
            wait = 0;
            again.cancel();
        }
        membership.registry(loop.nanoTime(), kind, members);
    }

    private void told(
            UpdateKind kind, List<DiscoveredEndpoint> members, String source, long toldAt) {
        if (!begun || kind == UpdateKind.FAILURE) {
            return;
        }
        long waited = loop.nanoTime() - toldAt;
        if (waited > WAITED) {
            loop.log()
                    .warning(
                            "membership: news of the "
                                    + source
                                    + " waited "
                                    + waited / 1_000_000
                                    + " ms");
        }
        telling = true;
        try {
            sink.onUpdate(kind, members);
        } finally {
            telling = false;
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
     * After a stand-still nothing that was told waits for the next tick. Danger: what came to the
     * client's threads may not have come to the loop, and where the whole process stood still not
     * even to them, while the registry's news are here already.
     */
    @Override
    public void readPendingUpdates() {
        caughtUp = false;
        if (telling) {
            // Noticed in the middle of news: what comes now is to be taken in behind them.
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
        again.cancel();
        client.close();
        registry.close();
    }

    /** What the nodes and the registry come to. */
    public NodeDiscovery membership() {
        return membership;
    }
}
