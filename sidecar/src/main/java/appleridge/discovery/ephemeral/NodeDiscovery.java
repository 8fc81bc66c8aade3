package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.UpdateKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Builds the endpoint list from ephemeral nodes and, if it is polled too, the registry. Notified
 * changes are applied at once; while the nodes can't be followed the last list stays in force, and
 * {@link #staleness()} is the cause. Must be called on one thread, with monotonic times in
 * nanoseconds on the loop's clock.
 */
public final class NodeDiscovery {
    /** Receives the updates of the list. */
    public interface Sink {
        /**
         * Called with each update of the list.
         *
         * @param source {@link #NODES} or {@link #REGISTRY}
         * @param sinceNanos when the first change in it was notified, on the loop's clock
         */
        void onUpdate(
                UpdateKind kind, List<DiscoveredEndpoint> members, String source, long sinceNanos);
    }

    /**
     * Time limits in nanoseconds.
     *
     * @param readTimeoutNanos if the data of a changed node take longer to read, its server gets no
     *     new requests
     * @param removalDelayNanos how long a server is remembered after its node was deleted, in case
     *     it returns
     * @param tickNanos the interval of {@link NodeDiscovery#tick}, which publishes the changes
     *     since the last one; only the first change per interval that stops requests to a host is
     *     published at once
     */
    public record Settings(long readTimeoutNanos, long removalDelayNanos, long tickNanos) {
        /** The defaults of the product. */
        public static final Settings DEFAULTS =
                new Settings(
                        TimeUnit.SECONDS.toNanos(1),
                        TimeUnit.SECONDS.toNanos(2),
                        TimeUnit.MILLISECONDS.toNanos(100));
    }

    /** Source of an update: ephemeral nodes. */
    public static final String NODES = "nodes";

    /** Source of an update: the registry. */
    public static final String REGISTRY = "registry";

    /**
     * How long servers are kept that are missing from an ensemble with a new history. They register
     * again one after the other, and without this delay the first one would get all requests.
     */
    private static final long REREGISTRATION_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long NEVER = Long.MAX_VALUE;

    private final SourceSelection sources;
    private final Settings settings;
    private final Sink sink;
    private final Consumer<String> infoLog;
    private final Consumer<String> warningLog;
    private final UnreadableNodes unreadable;
    private final NodeState nodes;
    private final RegistryState registry;
    private final MergedEndpoints merged;
    private final TransactionHistory history = new TransactionHistory();
    private SessionState sessionState = SessionState.CONNECTED;
    private final Staleness staleness;

    /** Whether the nodes have been read at least once. */
    private boolean nodesRead;

    /** Until when servers of a lost history are kept. */
    private long lostHistoryUntilNanos = NEVER;

    /** Whether nodes missing from the next snapshot are gone, whatever history it is of. */
    private boolean nextSnapshotAccepted;

    private final PendingChanges pending = new PendingChanges();

    /** When the current event was notified. */
    private long notifiedAtNanos;

    private long lastPublishedNanos = Long.MIN_VALUE;

    /** {@code infoLog} and {@code warningLog} take log lines for operators. */
    public NodeDiscovery(
            SourceSelection sources,
            Settings settings,
            Sink sink,
            Consumer<String> infoLog,
            Consumer<String> warningLog) {
        this.sources = sources;
        this.settings = settings;
        this.sink = sink;
        this.infoLog = infoLog;
        this.warningLog = warningLog;
        this.unreadable = new UnreadableNodes(warningLog);
        this.staleness = new Staleness(infoLog, warningLog);
        this.registry = new RegistryState(pending::touch);
        this.nodes =
                new NodeState(
                        settings,
                        pending::touch,
                        this::onNodeDeleted,
                        node -> registry.onNodeReturned(node.endpoint()),
                        unreadable);
        this.merged = new MergedEndpoints(nodes, registry);
    }

    /**
     * Handles an update of the registry's list; a failure is passed on to the sink. If nodes are
     * the only source, only the list cached before the start counts, until the nodes are read.
     */
    public void onRegistryUpdate(long now, UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.FAILURE) {
            sink.onUpdate(kind, List.of(), REGISTRY, now);
            return;
        }
        if (sources == SourceSelection.NODES && (kind != UpdateKind.CACHED_SNAPSHOT || nodesRead)) {
            return;
        }
        if (nodesRead) {
            flush(now);
        }
        notifiedAtNanos = now;
        registry.update(
                kind,
                members,
                listed -> nodes.byServerId(listed.id()).forEach(this::onRegistryListing),
                ended ->
                        nodes.byServerId(ended.id())
                                .forEach(node -> node.onRegistryEnd(ended.startedAtUnixMillis())));
        List<DiscoveredEndpoint> changes = changes();
        // Published even without changes: it shows that the registry answers.
        publish(now, kind, kind == UpdateKind.DELTA ? changes : merged.all(), REGISTRY, now);
    }

    private void onNodeDeleted(TrackedNode node) {
        if (node.wasRead()) {
            registry.onNodeDeleted(node.endpoint());
        } else {
            registry.onNodeDeleted(node.name);
        }
    }

    private void onRegistryListing(TrackedNode node) {
        node.onRegistryListing();
        if (!node.exists()) {
            // The registry may be slower and still list the process.
            registry.onNodeDeleted(node.endpoint());
        }
    }

    /**
     * Handles a change of the session's state. After a connect, the next snapshot contains what was
     * missed.
     */
    public void onSessionState(long now, SessionState state) {
        sessionState = state;
        switch (state) {
            case CONNECTED -> history.onConnected();
            case READ_ONLY -> markStale(StalenessCause.READ_ONLY);
            case SUSPENDED -> markStale(StalenessCause.NOT_CONNECTED);
            case EXPIRED -> {
                history.onSessionExpired();
                markStale(StalenessCause.NOT_CONNECTED);
            }
            default -> throw new IllegalArgumentException("unknown session state: " + state);
        }
    }

    /**
     * Handles a snapshot of the whole subtree. While {@link #staleness()} is {@link
     * StalenessCause#OLDER} or {@link StalenessCause#WIPED} the caller must read the subtree again
     * every few seconds.
     *
     * @param asOfNanos when its reading began; later events may be newer than the snapshot
     * @param zxid the highest transaction in the snapshot, and of this connection's events
     * @param read all nodes, by name
     */
    public void onSnapshot(long now, long asOfNanos, long zxid, Map<String, NodeRead> read) {
        if (!takesSnapshots() || !acceptsState(now, zxid, read)) {
            return;
        }
        nodes.onSnapshot(now, asOfNanos, read);
        if (nextSnapshotAccepted) {
            nextSnapshotAccepted = false;
            nodes.dropLostHistory(now);
        }
        int sizeBefore = merged.size();
        List<DiscoveredEndpoint> changes = changes();
        boolean first = !nodesRead;
        nodesRead = true;
        if (sessionState == SessionState.CONNECTED) {
            staleness.end(merged.size(), sizeBefore);
        }
        if (first) {
            publish(now, UpdateKind.SNAPSHOT, merged.all(), NODES, notifiedAtNanos);
        } else if (!changes.isEmpty()) {
            publish(now, UpdateKind.DELTA, changes, NODES, notifiedAtNanos);
        }
    }

    /** A server without its quorum is trusted for the first snapshot only. */
    private boolean takesSnapshots() {
        return sessionState == SessionState.CONNECTED
                || sessionState == SessionState.READ_ONLY && !nodesRead;
    }

    /** Whether a snapshot counts, by its transactions; if so, prepares the state for it. */
    private boolean acceptsState(long now, long zxid, Map<String, NodeRead> read) {
        boolean holdsEntries = read.values().stream().anyMatch(each -> each.data() != null);
        TransactionHistory.Verdict verdict = history.classify(now, zxid, holdsEntries);
        switch (verdict) {
            case OLDER -> {
                markStale(StalenessCause.OLDER);
                return false;
            }
            case LOST -> {
                markStale(StalenessCause.WIPED);
                return false;
            }
            case CURRENT, RESTARTED -> notifiedAtNanos = now;
            default -> throw new IllegalArgumentException("unknown verdict: " + verdict);
        }
        if (verdict == TransactionHistory.Verdict.RESTARTED) {
            nodes.startNewHistory();
            lostHistoryUntilNanos = now + REREGISTRATION_WINDOW_NANOS;
            warningLog.accept(
                    "membership: the coordination service has a new history; servers missing from"
                            + " it are kept for a while");
        }
        if (!nodesRead && sources == SourceSelection.NODES) {
            registry.update(UpdateKind.SNAPSHOT, List.of(), none -> {}, none -> {});
        }
        return true;
    }

    /** Handles the creation or change of a node, whose data are still to be read. */
    public void onNodeChanged(long now, long changeNotifiedNanos, long zxid, String name) {
        if (sessionState == SessionState.READ_ONLY || staleness.cause() == StalenessCause.WIPED) {
            return;
        }
        // A server that lags may notify the creation of a node whose deletion was notified before
        // and is already forgotten.
        if (staleness.cause() != StalenessCause.NONE
                && history.mayPredate(zxid)
                && !nodes.isKnown(name)) {
            return;
        }
        notifiedAtNanos = changeNotifiedNanos;
        history.onEvent(zxid);
        nodes.onChanged(now, changeNotifiedNanos, zxid, name);
        flushIfUrgent(now);
    }

    /**
     * Handles the data of a node, last changed by transaction {@code mzxid}. For a node that does
     * not exist, {@link #onNodeDeleted} must be called instead.
     */
    public void onNodeRead(long now, long mzxid, String name, NodeRead data) {
        if (sessionState != SessionState.READ_ONLY && staleness.cause() != StalenessCause.WIPED) {
            notifiedAtNanos = now;
            nodes.onRead(mzxid, name, data);
            flushIfUrgent(now);
        }
    }

    /** Handles a deletion; it counts even while stale, unless a later creation is known. */
    public void onNodeDeleted(long now, long deletionNotifiedNanos, long zxid, String name) {
        if (sessionState != SessionState.READ_ONLY) {
            notifiedAtNanos = deletionNotifiedNanos;
            history.onEvent(zxid);
            // Transactions of a wiped ensemble can't be compared with those before.
            nodes.onNodeDeleted(now, history.isLost() ? 0 : zxid, name);
            flushIfUrgent(now);
        }
    }

    /** Marks the list as stale; it stays in force. */
    public void markStale(long now, StalenessCause cause) {
        if (cause == StalenessCause.WIPED) {
            history.markLost();
        }
        if (cause != StalenessCause.NONE) {
            markStale(cause);
        }
    }

    /**
     * Accepts the ensemble's state although it is older or incomplete, as an operator has
     * requested: the next snapshot is applied, and nodes missing from it are gone.
     */
    public void acceptState(long now) {
        if (lostHistoryUntilNanos != NEVER) {
            lostHistoryUntilNanos = now;
        } else if (staleness.cause() == StalenessCause.WIPED
                || staleness.cause() == StalenessCause.OLDER) {
            nodes.startNewHistory();
            history.trustNext();
            nextSnapshotAccepted = true;
        } else {
            return;
        }
        infoLog.accept("membership: the coordination service's state is accepted, as requested");
    }

    /** Must be called every {@link Settings#tickNanos()} nanoseconds. */
    public void tick(long now) {
        notifiedAtNanos = now;
        nodes.tick(now);
        if (now >= lostHistoryUntilNanos) {
            lostHistoryUntilNanos = NEVER;
            nodes.dropLostHistory(now);
        }
        pending.endEvent(notifiedAtNanos);
        if (nodesRead) {
            flush(now);
        }
    }

    private void flushIfUrgent(long now) {
        List<String> urgent = new ArrayList<>();
        for (String id : pending.touched()) {
            if (merged.isUrgent(id)) {
                urgent.add(id);
            }
        }
        pending.endEvent(notifiedAtNanos);
        if (!nodesRead && !urgent.isEmpty()) {
            // These are in the list cached before the start; other changes wait for the first
            // snapshot.
            pending.remove(urgent);
            publish(now, UpdateKind.DELTA, merged.changes(urgent), NODES, notifiedAtNanos);
        } else if (!urgent.isEmpty() && now - settings.tickNanos() >= lastPublishedNanos) {
            flush(now);
        }
    }

    private void flush(long now) {
        long sinceNanos = pending.sinceNanos(now);
        List<DiscoveredEndpoint> changes = changes();
        if (!changes.isEmpty()) {
            publish(now, UpdateKind.DELTA, changes, NODES, sinceNanos);
        }
    }

    private List<DiscoveredEndpoint> changes() {
        pending.endEvent(notifiedAtNanos);
        return merged.changes(pending.drain());
    }

    private void publish(
            long now,
            UpdateKind kind,
            List<DiscoveredEndpoint> members,
            String source,
            long sinceNanos) {
        lastPublishedNanos = now;
        sink.onUpdate(kind, members, source, sinceNanos);
    }

    private void markStale(StalenessCause cause) {
        staleness.begin(cause, merged.size());
    }

    /** Returns why the list is stale, {@link StalenessCause#NONE} if it is not. */
    public StalenessCause staleness() {
        return staleness.cause();
    }

    /** Returns the number of listed servers. */
    public int size() {
        return merged.size();
    }

    /** Returns the number of nodes that can't be read. */
    public int unreadable() {
        return unreadable.count();
    }

    /** Returns the number of remembered nodes, including deleted ones. */
    int rememberedNodes() {
        return nodes.size();
    }

    /** Whether there is a list: cached, from the registry, or of the nodes. */
    public boolean hasList() {
        return nodesRead || merged.size() > 0;
    }
}
