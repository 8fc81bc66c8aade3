package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.UpdateKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Makes one endpoint list of what the nodes and, if it is polled too, the registry say. What was
 * notified is believed at once; where nothing new is known the last list stands, and {@link
 * #staleness()} says why. To be called on one thread, with times in nanoseconds on the loop's clock
 * that never run back.
 */
public final class NodeDiscovery {
    /** Takes the list. */
    public interface Sink {
        /**
         * An update of the list.
         *
         * @param source {@link #NODES} or {@link #REGISTRY}
         * @param toldAt when it was notified, on the loop's clock
         */
        void onUpdate(
                UpdateKind kind, List<DiscoveredEndpoint> members, String source, long toldAt);
    }

    /**
     * Times in nanoseconds.
     *
     * @param readWithin a change whose data takes longer to read stops new requests to its server
     * @param goneAfter how long a server whose node was deleted is remembered, in case that it
     *     comes back
     * @param tick how often {@link NodeDiscovery#tick} is called; what is notified in between is
     *     published with it, but for the first change in such a time that stops requests to a host
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
     * How long servers that an ensemble which began anew has not got are kept: they register again
     * one after the other, and the first one back would be sent all requests.
     */
    private static final long REREGISTRATION_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long NEVER = Long.MAX_VALUE;

    private final SourceSelection merge;
    private final Settings settings;
    private final Sink sink;
    private final Consumer<String> infoLog;
    private final Consumer<String> warningLog;
    private final UnreadableNodes unreadable;
    private final NodeState nodes;
    private final RegistryState onRegistryUpdate;
    private final MergedEndpoints merged;
    private final TransactionHistory history = new TransactionHistory();
    private SessionState onSessionState = SessionState.CONNECTED;
    private final Staleness staleness;

    /** The nodes have been read once. */
    private boolean nodesRead;

    /** Of servers that came before the ensemble began anew. */
    private long lostHistoryUntilNanos = NEVER;

    /** What the next snapshot leaves out is gone, whatever history it is of. */
    private boolean accepted;

    private final PendingChanges pending = new PendingChanges();

    /** When the present event was notified. */
    private long notifiedAtNanos;

    private long lastPublishedNanos = Long.MIN_VALUE;

    /** {@code news} and {@code warning} take log lines for operators. */
    public NodeDiscovery(
            SourceSelection merge,
            Settings settings,
            Sink sink,
            Consumer<String> news,
            Consumer<String> warning) {
        this.merge = merge;
        this.settings = settings;
        this.sink = sink;
        this.infoLog = news;
        this.warningLog = warning;
        this.unreadable = new UnreadableNodes(warning);
        this.staleness = new Staleness(news, warning);
        this.onRegistryUpdate = new RegistryState(pending::touch);
        this.nodes =
                new NodeState(
                        settings,
                        pending::touch,
                        this::onNodeDeleted,
                        node -> onRegistryUpdate.onNodeReturned(node.endpoint()),
                        unreadable);
        this.merged = new MergedEndpoints(nodes, onRegistryUpdate);
    }

    /**
     * The registry's list, where it is asked too; a failure passes through. What is known before
     * the start holds, where nodes alone are asked, until they are read.
     */
    public void onRegistryUpdate(long now, UpdateKind kind, List<DiscoveredEndpoint> members) {
        if (kind == UpdateKind.FAILURE) {
            sink.onUpdate(kind, List.of(), REGISTRY, now);
            return;
        }
        if (merge == SourceSelection.NODES && (kind != UpdateKind.CACHED_SNAPSHOT || nodesRead)) {
            return;
        }
        if (nodesRead) {
            flush(now);
        }
        notifiedAtNanos = now;
        onRegistryUpdate.update(
                kind,
                members,
                listed -> nodes.byServerId(listed.id()).forEach(this::onRegistryListing),
                ended ->
                        nodes.byServerId(ended.id())
                                .forEach(node -> node.onRegistryEnd(ended.startedAtUnixMillis())));
        List<DiscoveredEndpoint> changes = changes();
        // Also where nothing has changed: it tells that the registry answers.
        publish(now, kind, kind == UpdateKind.DELTA ? changes : merged.all(), REGISTRY, now);
    }

    private void onNodeDeleted(TrackedNode node) {
        if (node.wasRead()) {
            onRegistryUpdate.onNodeDeleted(node.endpoint());
        } else {
            onRegistryUpdate.onNodeDeleted(node.name);
        }
    }

    private void onRegistryListing(TrackedNode node) {
        node.onRegistryListing();
        if (!node.exists()) {
            // The slower source may list a process whose end it was not notified of yet.
            onRegistryUpdate.onNodeDeleted(node.endpoint());
        }
    }

    /**
     * The state of the session has changed. After a connect, the next snapshot tells what was
     * missed.
     */
    public void onSessionState(long now, SessionState state) {
        onSessionState = state;
        switch (state) {
            case CONNECTED -> history.onConnected();
            case READ_ONLY -> markStale(StalenessCause.READ_ONLY);
            case SUSPENDED -> markStale(StalenessCause.NOT_CONNECTED);
            case EXPIRED -> {
                history.onSessionExpired();
                markStale(StalenessCause.NOT_CONNECTED);
            }
            default -> throw new IllegalArgumentException("session " + state);
        }
    }

    /**
     * The whole subtree. While {@link #staleness()} is {@link StalenessCause#OLDER} or {@link
     * StalenessCause#WIPED} it is to be read again every few seconds.
     *
     * @param asOf when its reading began: what an event told of a node since then may be newer
     * @param zxid the highest transaction in what was read; events of this connection count too
     * @param onNodeRead all nodes by name
     */
    public void onSnapshot(long now, long asOf, long zxid, Map<String, NodeRead> read) {
        if (!takesSnapshots() || !acceptsState(now, zxid, read)) {
            return;
        }
        nodes.onSnapshot(now, asOf, read);
        if (accepted) {
            accepted = false;
            nodes.dropLostHistory(now);
        }
        int sizeBefore = merged.size();
        List<DiscoveredEndpoint> changes = changes();
        boolean first = !nodesRead;
        nodesRead = true;
        if (onSessionState == SessionState.CONNECTED) {
            staleness.end(merged.size(), sizeBefore);
        }
        if (first) {
            publish(now, UpdateKind.SNAPSHOT, merged.all(), NODES, notifiedAtNanos);
        } else if (!changes.isEmpty()) {
            publish(now, UpdateKind.DELTA, changes, NODES, notifiedAtNanos);
        }
    }

    /** A server without its quorum will do for the first snapshot alone. */
    private boolean takesSnapshots() {
        return onSessionState == SessionState.CONNECTED
                || onSessionState == SessionState.READ_ONLY && !nodesRead;
    }

    /** Whether a snapshot counts, by its transactions; prepares for it if so. */
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
            default -> throw new IllegalArgumentException("verdict " + verdict);
        }
        if (verdict == TransactionHistory.Verdict.RESTARTED) {
            nodes.startNewHistory();
            lostHistoryUntilNanos = now + REREGISTRATION_WINDOW_NANOS;
            warningLog.accept(
                    "membership: the coordination service has begun anew; what it has not got yet"
                            + " is kept for a while");
        }
        if (!nodesRead && merge == SourceSelection.NODES) {
            onRegistryUpdate.update(UpdateKind.SNAPSHOT, List.of(), none -> {}, none -> {});
        }
        return true;
    }

    /** A node was made or its data changed; what it holds is being read. */
    public void onNodeChanged(long now, long toldAt, long zxid, String name) {
        if (onSessionState == SessionState.READ_ONLY || staleness.cause() == StalenessCause.WIPED) {
            return;
        }
        // A server that lags notifies the creation of nodes whose deletion was notified and
        // forgotten long before.
        if (staleness.cause() != StalenessCause.NONE
                && history.mayPredate(zxid)
                && !nodes.isKnown(name)) {
            return;
        }
        notifiedAtNanos = toldAt;
        history.onEvent(zxid);
        nodes.onChanged(now, toldAt, zxid, name);
        flushIfUrgent(now);
    }

    /**
     * What a node holds, as it was when its data had this transaction. A node that is found to be
     * no more is {@link #onNodeDeleted}.
     */
    public void onNodeRead(long now, long mzxid, String name, NodeRead data) {
        if (onSessionState != SessionState.READ_ONLY && staleness.cause() != StalenessCause.WIPED) {
            notifiedAtNanos = now;
            nodes.onRead(mzxid, name, data);
            flushIfUrgent(now);
        }
    }

    /** A node was deleted: believed even while stale, unless a later creation is known. */
    public void onNodeDeleted(long now, long toldAt, long zxid, String name) {
        if (onSessionState != SessionState.READ_ONLY) {
            notifiedAtNanos = toldAt;
            history.onEvent(zxid);
            // What a wiped ensemble counts can't be compared with what it counted before.
            nodes.onNodeDeleted(now, history.isLost() ? 0 : zxid, name);
            flushIfUrgent(now);
        }
    }

    /** Why the nodes can't be read: the last list stands. */
    public void markStale(long now, StalenessCause why) {
        if (why == StalenessCause.WIPED) {
            history.markLost();
        }
        if (why != StalenessCause.NONE) {
            markStale(why);
        }
    }

    /**
     * An operator says that what the ensemble has, or has not, is right although it runs back: the
     * next snapshot holds, with all that it leaves out.
     */
    public void acceptState(long now) {
        if (lostHistoryUntilNanos != NEVER) {
            lostHistoryUntilNanos = now;
        } else if (staleness.cause() == StalenessCause.WIPED
                || staleness.cause() == StalenessCause.OLDER) {
            nodes.startNewHistory();
            history.trustNext();
            accepted = true;
        } else {
            return;
        }
        infoLog.accept(
                "membership: what the coordination service has is taken for right, as was said");
    }

    /** To be called every {@link Settings#tickNanos()} nanoseconds. */
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
            // Of the list from before the start; what else comes now is of one that isn't known
            // yet.
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
            long toldAt) {
        lastPublishedNanos = now;
        sink.onUpdate(kind, members, source, toldAt);
    }

    private void markStale(StalenessCause cause) {
        staleness.begin(cause, merged.size());
    }

    /** Why the last list stands. */
    public StalenessCause staleness() {
        return staleness.cause();
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
        return nodesRead || merged.size() > 0;
    }
}
