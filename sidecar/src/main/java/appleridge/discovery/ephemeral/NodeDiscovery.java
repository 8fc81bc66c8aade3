package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.UpdateKind;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Makes one list of what the nodes and, if it is asked too, the registry say. What was told is
 * believed at once; where nothing was told the last list stands. Everything comes in on one thread
 * with a time that never runs back.
 */
public final class NodeDiscovery {
    /** Takes the list. */
    public interface Sink {
        /**
         * News of the list.
         *
         * @param source the source that they came from
         * @param toldAt when they were told, on the loop's clock
         */
        void told(UpdateKind kind, List<DiscoveredEndpoint> members, String source, long toldAt);
    }

    /**
     * Times in nanoseconds.
     *
     * @param readWithin a change whose data takes longer stops new work to its server
     * @param goneAfter for so long a server whose node vanished is kept, in case that it comes back
     * @param tick how often {@link #tick} is called; what is told in between waits for it, but for
     *     the first word in such a while of a server that wants no new work
     */
    public record Settings(long readWithin, long goneAfter, long tick) {
        /** What nobody sets otherwise. */
        public static final Settings USUAL =
                new Settings(
                        TimeUnit.SECONDS.toNanos(1),
                        TimeUnit.SECONDS.toNanos(2),
                        TimeUnit.MILLISECONDS.toNanos(100));
    }

    /** What the list's news are said to come from. */
    public static final String NODES = "nodes";

    /** The same. */
    public static final String REGISTRY = "registry";

    /**
     * What an ensemble that began anew has not got is kept for so long, for all who register find
     * out about it one after the other. Danger: the first that is back would be sent everything.
     */
    private static final long COME_BACK_WITHIN = TimeUnit.SECONDS.toNanos(10);

    private static final long NEVER = Long.MAX_VALUE;

    private final SourceSelection merge;
    private final Settings settings;
    private final Sink sink;
    private final Consumer<String> news;
    private final Consumer<String> warning;
    private final UnreadableNodes unreadable;
    private final NodeState nodes;
    private final RegistryState registry;
    private final MergedEndpoints merged;
    private final TransactionHistory history = new TransactionHistory();
    private SessionState session = SessionState.CONNECTED;
    private StalenessCause doubt = StalenessCause.NOT_CONNECTED;

    /** The nodes have been read once. */
    private boolean known;

    /** Of servers that came before the ensemble began anew. */
    private long oldHistoryUntil = NEVER;

    /** What the next snapshot leaves out is gone, whatever history it is of. */
    private boolean accepted;

    /** Ids of which something has changed and was not told. */
    private final Set<String> untold = new LinkedHashSet<>();

    private long untoldSince = NEVER;

    /** Those of the present event, and when that was told. */
    private final List<String> touched = new ArrayList<>();

    private long told;
    private long lastToldAt = Long.MIN_VALUE;

    /** {@code news} and {@code warning}: for operators. */
    public NodeDiscovery(
            SourceSelection merge,
            Settings settings,
            Sink sink,
            Consumer<String> news,
            Consumer<String> warning) {
        this.merge = merge;
        this.settings = settings;
        this.sink = sink;
        this.news = news;
        this.warning = warning;
        this.unreadable = new UnreadableNodes(warning);
        this.registry = new RegistryState(this::touch);
        this.nodes =
                new NodeState(
                        settings,
                        this::touch,
                        this::vanished,
                        node -> registry.nodeReturned(node.member()),
                        unreadable);
        this.merged = new MergedEndpoints(nodes, registry);
    }

    // ---- the registry

    /**
     * The registry's list, where it is asked too; a failure passes through. What is known before
     * the start holds, where nodes alone are asked, until they are read.
     */
    public void registry(long now, UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.FAILURE) {
            sink.told(kind, List.of(), REGISTRY, now);
            return;
        }
        if (merge == SourceSelection.NODES && (kind != UpdateKind.CACHED_SNAPSHOT || known)) {
            return;
        }
        if (known) {
            flush(now);
        }
        told = now;
        registry.take(
                kind,
                members,
                listed -> nodes.of(listed.id()).forEach(this::listedToo),
                ended ->
                        nodes.of(ended.id())
                                .forEach(node -> node.registryEnds(ended.startedAtUnixMillis())));
        List<DiscoveredEndpoint> changes = changes();
        // Also where nothing has changed: it tells that the registry answers.
        tell(now, kind, kind == UpdateKind.DELTA ? changes : merged.all(), REGISTRY, now);
    }

    private void vanished(TrackedNode node) {
        if (node.wasRead()) {
            registry.nodeVanished(node.member());
        } else {
            registry.nodeVanished(node.name);
        }
    }

    private void listedToo(TrackedNode node) {
        node.registryLists();
        if (!node.isThere()) {
            // Danger: the slower source may list what it has not heard the end of.
            registry.nodeVanished(node.member());
        }
    }

    // ---- the nodes

    /**
     * The state of the session has changed. After a connect, the next snapshot tells what was
     * missed.
     */
    public void session(long now, SessionState state) {
        session = state;
        switch (state) {
            case CONNECTED -> history.connected();
            case READ_ONLY -> turn(StalenessCause.READ_ONLY);
            case SUSPENDED -> turn(StalenessCause.NOT_CONNECTED);
            case EXPIRED -> {
                history.sessionEnded();
                turn(StalenessCause.NOT_CONNECTED);
            }
            default -> throw new IllegalArgumentException("session " + state);
        }
    }

    /**
     * The whole subtree. While {@link #doubt()} is {@link StalenessCause#OLDER} or {@link
     * StalenessCause#WIPED} it is to be read again every few seconds.
     *
     * @param asOf when its reading began: what an event told of a node since then may be newer
     * @param zxid the highest transaction in what was read; events of this connection count too
     * @param read all nodes by name
     */
    public void snapshot(long now, long asOf, long zxid, Map<String, NodeRead> read) {
        if (session != SessionState.CONNECTED && (session != SessionState.READ_ONLY || known)) {
            return;
        }
        boolean holdsEntries = read.values().stream().anyMatch(each -> each.data() != null);
        TransactionHistory.Verdict verdict = history.weigh(now, zxid, holdsEntries);
        if (verdict == TransactionHistory.Verdict.OLDER) {
            turn(StalenessCause.OLDER);
            return;
        }
        if (verdict == TransactionHistory.Verdict.LOST) {
            turn(StalenessCause.WIPED);
            return;
        }
        told = now;
        if (verdict == TransactionHistory.Verdict.ANEW) {
            nodes.newHistory();
            oldHistoryUntil = now + COME_BACK_WITHIN;
            warning.accept(
                    "membership: the coordination service has begun anew; what it has not got yet"
                            + " is kept for a while");
        }
        if (!known && merge == SourceSelection.NODES) {
            registry.take(UpdateKind.SNAPSHOT, List.of(), none -> {}, none -> {});
        }
        nodes.snapshot(now, asOf, read);
        if (accepted) {
            accepted = false;
            nodes.endOldHistory(now);
        }
        int before = merged.size();
        List<DiscoveredEndpoint> changes = changes();
        boolean first = !known;
        known = true;
        if (session == SessionState.CONNECTED && doubt != StalenessCause.NONE) {
            doubt = StalenessCause.NONE;
            news.accept(
                    "membership: "
                            + doubt.words()
                            + ": "
                            + merged.size()
                            + " servers, "
                            + before
                            + " before");
        }
        if (first) {
            tell(now, UpdateKind.SNAPSHOT, merged.all(), NODES, told);
        } else if (!changes.isEmpty()) {
            tell(now, UpdateKind.DELTA, changes, NODES, told);
        }
    }

    /** A node was made or its data changed; what it holds is being read. */
    public void changed(long now, long toldAt, long zxid, String name) {
        if (session == SessionState.READ_ONLY || doubt == StalenessCause.WIPED) {
            return;
        }
        // Danger: a server that lags tells of the making of nodes whose end has long been told and
        // forgotten.
        if (doubt != StalenessCause.NONE && history.isOld(zxid) && !nodes.has(name)) {
            return;
        }
        told = toldAt;
        history.saw(zxid);
        nodes.changed(now, toldAt, zxid, name);
        flushIfPressing(now);
    }

    /**
     * What a node holds, as it was when its data had this transaction. A node that is found to be
     * no more is {@link #gone}.
     */
    public void read(long now, long mzxid, String name, NodeRead data) {
        if (session != SessionState.READ_ONLY && doubt != StalenessCause.WIPED) {
            told = now;
            nodes.read(mzxid, name, data);
            flushIfPressing(now);
        }
    }

    /** A node is gone: believed in whatever doubt, unless a later making of it is known. */
    public void gone(long now, long toldAt, long zxid, String name) {
        if (session != SessionState.READ_ONLY) {
            told = toldAt;
            history.saw(zxid);
            // What a wiped ensemble counts can't be compared with what it counted before.
            nodes.gone(now, history.isLost() ? 0 : zxid, name);
            flushIfPressing(now);
        }
    }

    /** Why the nodes can't be read: the last list stands. */
    public void doubt(long now, StalenessCause why) {
        if (why == StalenessCause.WIPED) {
            history.lose();
        }
        if (why != StalenessCause.NONE) {
            turn(why);
        }
    }

    /**
     * An operator says that what the ensemble has, or has not, is right although it runs back: the
     * next snapshot holds, with all that it leaves out.
     */
    public void accept(long now) {
        if (oldHistoryUntil != NEVER) {
            oldHistoryUntil = now;
        } else if (doubt == StalenessCause.WIPED || doubt == StalenessCause.OLDER) {
            nodes.newHistory();
            history.forget();
            accepted = true;
        } else {
            return;
        }
        news.accept(
                "membership: what the coordination service has is taken for right, as was said");
    }

    /** To be called every {@link PolicySettings#tick}. */
    public void tick(long now) {
        told = now;
        nodes.tick(now);
        if (now >= oldHistoryUntil) {
            oldHistoryUntil = NEVER;
            nodes.endOldHistory(now);
        }
        take();
        if (known) {
            flush(now);
        }
    }

    // ---- what is told

    private void touch(String id) {
        touched.add(id);
    }

    /** The present event is over: what it touched waits to be told. */
    private void take() {
        if (!touched.isEmpty()) {
            untold.addAll(touched);
            untoldSince = Math.min(untoldSince, told);
            touched.clear();
        }
    }

    private void flushIfPressing(long now) {
        List<String> pressing = new ArrayList<>();
        for (String id : touched) {
            if (merged.isPressing(id)) {
                pressing.add(id);
            }
        }
        take();
        if (!known && !pressing.isEmpty()) {
            // Of the list from before the start; what else comes now is of one that isn't known
            // yet.
            untold.removeAll(pressing);
            tell(now, UpdateKind.DELTA, merged.changes(pressing), NODES, told);
        } else if (!pressing.isEmpty() && now - settings.tick() >= lastToldAt) {
            flush(now);
        }
    }

    private void flush(long now) {
        long since = Math.min(untoldSince, now);
        List<DiscoveredEndpoint> changes = changes();
        if (!changes.isEmpty()) {
            tell(now, UpdateKind.DELTA, changes, NODES, since);
        }
    }

    private List<DiscoveredEndpoint> changes() {
        take();
        List<DiscoveredEndpoint> changes = merged.changes(untold);
        untold.clear();
        untoldSince = NEVER;
        return changes;
    }

    private void tell(
            long now,
            UpdateKind kind,
            List<DiscoveredEndpoint> members,
            String source,
            long toldAt) {
        lastToldAt = now;
        sink.told(kind, members, source, toldAt);
    }

    private void turn(StalenessCause next) {
        if (doubt != next) {
            doubt = next;
            warning.accept(
                    "membership: "
                            + next.words()
                            + ": the last list stands, "
                            + merged.size()
                            + " servers");
        }
    }

    // ---- what is known

    /** Why the last list stands. */
    public StalenessCause doubt() {
        return doubt;
    }

    /** Servers that are listed. */
    public int size() {
        return merged.size();
    }

    /** Nodes that can't be read. */
    public int unreadable() {
        return unreadable.count();
    }

    /** Nodes that are remembered, whether or not they are there still. */
    int remembered() {
        return nodes.size();
    }

    /** Whether there is a list to go by. */
    public boolean usable() {
        return known || merged.size() > 0;
    }
}
