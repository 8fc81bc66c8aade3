package appleridge.discovery.ephemeral;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The state of all nodes. Applies notifications and reads in any order of arrival, and the effects
 * of time: overdue reads and the removal of deleted nodes. Not thread-safe; times are nanoseconds
 * on the loop's clock.
 */
final class NodeState {
    private final long readTimeoutNanos;
    private final long removalDelayNanos;

    /** Receives the id of each server that has changed. */
    private final Consumer<String> onTouched;

    /** Receives each deleted node, before its server counts as changed. */
    private final Consumer<TrackedNode> onDeleted;

    /** Receives each node that is read for the first time, or exists again. */
    private final Consumer<TrackedNode> onReturned;

    private final UnreadableNodes unreadable;
    private final Map<String, TrackedNode> nodes = new LinkedHashMap<>();
    private final Map<String, Set<TrackedNode>> nodesByServerId = new HashMap<>();
    private final Set<TrackedNode> pendingReads = new LinkedHashSet<>();
    private final Set<TrackedNode> deleted = new LinkedHashSet<>();

    NodeState(
            NodeDiscovery.Settings settings,
            Consumer<String> onTouched,
            Consumer<TrackedNode> onDeleted,
            Consumer<TrackedNode> onReturned,
            UnreadableNodes unreadable) {
        this.readTimeoutNanos = settings.readTimeoutNanos();
        this.removalDelayNanos = settings.removalDelayNanos();
        this.onTouched = onTouched;
        this.onDeleted = onDeleted;
        this.onReturned = onReturned;
        this.unreadable = unreadable;
    }

    Collection<TrackedNode> byServerId(String id) {
        return nodesByServerId.getOrDefault(id, Set.of());
    }

    Collection<String> ids() {
        return nodesByServerId.keySet();
    }

    /** Returns the number of remembered nodes, including deleted ones. */
    int size() {
        return nodes.size();
    }

    /** Whether a node exists, or its creation was notified and its data are not read yet. */
    boolean isKnown(String name) {
        TrackedNode node = nodes.get(name);
        return node != null && (node.exists() || node.readPending);
    }

    void onChanged(long nowNanos, long notifiedAtNanos, long zxid, String name) {
        TrackedNode node = nodes.get(name);
        if (node == null) {
            node = add(name);
        }
        node.notifiedAtNanos = notifiedAtNanos;
        if (zxid > 0 && zxid <= (node.exists() ? node.mzxid : node.deletedZxid)) {
            return;
        }
        node.pendingZxid = Math.max(zxid, node.readPending ? node.pendingZxid : 0);
        node.pendingSinceNanos = node.readPending ? node.pendingSinceNanos : notifiedAtNanos;
        node.readPending = true;
        // It was created in the new history, whatever its data are.
        node.fromLostHistory = false;
        pendingReads.add(node);
        markOverdueReads(nowNanos, node);
    }

    void onRead(long mzxid, String name, NodeRead read) {
        TrackedNode node = nodes.get(name);
        if (node != null
                && (node.exists() || node.readPending)
                && !isReadOfDeleted(node, read)
                && isLatest(node, mzxid, read)) {
            update(node, read);
        }
    }

    /** A node that can't be read may come without transactions, and then counts as the latest. */
    private static boolean isLatest(TrackedNode node, long mzxid, NodeRead read) {
        return mzxid >= node.latestZxid() || read.data() == null && mzxid <= 0;
    }

    /** Whether a read is of a node that has been deleted since. */
    private static boolean isReadOfDeleted(TrackedNode node, NodeRead read) {
        return !node.exists() && read.czxid() <= node.deletedZxid;
    }

    void onNodeDeleted(long nowNanos, long zxid, String name) {
        TrackedNode node = nodes.get(name);
        if (node == null) {
            // Remembered, because data that were read before the deletion may still arrive.
            node = add(name);
        } else if (zxid > 0 && zxid < node.latestZxid()) {
            // Created again since. If that one is not read yet, the known data are of the deleted
            // node.
            if (node.readPending && zxid > Math.max(node.czxid, node.mzxid)) {
                markDeleted(nowNanos, zxid, node);
            }
            return;
        }
        delete(nowNanos, zxid, node);
    }

    /**
     * Applies a snapshot of the whole subtree. Nodes that were notified at {@code asOfNanos} or
     * later may be newer than the snapshot and are not deleted by it.
     */
    void onSnapshot(long nowNanos, long asOfNanos, Map<String, NodeRead> read) {
        read.forEach(
                (name, each) -> {
                    TrackedNode node = nodes.get(name);
                    if (node == null) {
                        node = add(name);
                    }
                    if (!isReadOfDeleted(node, each) && isLatest(node, each.mzxid(), each)) {
                        update(node, each);
                    }
                });
        for (TrackedNode each : new ArrayList<>(nodes.values())) {
            if (!read.containsKey(each.name)
                    && each.notifiedAtNanos < asOfNanos
                    && !each.fromLostHistory) {
                delete(nowNanos, 0, each);
            }
        }
    }

    /**
     * Starts a new history, in which the ensemble's transactions start again: whatever it says of a
     * node from now on is newer than what is known.
     */
    void startNewHistory() {
        for (TrackedNode each : nodes.values()) {
            each.czxid = 0;
            each.mzxid = 0;
            each.pendingZxid = 0;
            each.deletedZxid = 0;
            each.notifiedAtNanos = Long.MIN_VALUE;
            each.fromLostHistory = each.exists();
        }
    }

    /** Deletes the nodes of the lost history that have not been created in the new one. */
    void dropLostHistory(long nowNanos) {
        for (TrackedNode each : new ArrayList<>(nodes.values())) {
            if (each.fromLostHistory) {
                delete(nowNanos, 0, each);
            }
        }
    }

    void tick(long nowNanos) {
        pendingReads.forEach(node -> markOverdueReads(nowNanos, node));
        for (Iterator<TrackedNode> all = deleted.iterator(); all.hasNext(); ) {
            TrackedNode node = all.next();
            if (node.exists()) {
                all.remove();
            } else if (!node.readPending && nowNanos - node.deletedAtNanos >= removalDelayNanos) {
                all.remove();
                forget(node);
            }
        }
    }

    private TrackedNode add(String name) {
        TrackedNode node = new TrackedNode(name);
        nodes.put(name, node);
        return node;
    }

    private void markOverdueReads(long nowNanos, TrackedNode node) {
        if (!node.readOverdue && nowNanos - node.pendingSinceNanos >= readTimeoutNanos) {
            node.readOverdue = true;
            touch(node);
        }
    }

    private void update(TrackedNode node, NodeRead read) {
        String before = node.id();
        boolean wasThere = before != null && node.exists();
        node.update(read);
        pendingReads.remove(node);
        deleted.remove(node);
        if (read.data() == null) {
            unreadable.add(node.name, read.problem());
        } else {
            unreadable.remove(node.name);
        }
        String after = node.id();
        if (before != null && !before.equals(after)) {
            remove(before, node);
            onTouched.accept(before);
        }
        if (after != null && !after.equals(before)) {
            nodesByServerId.computeIfAbsent(after, id -> new LinkedHashSet<>()).add(node);
        }
        if (!wasThere && !node.unreadable) {
            onReturned.accept(node);
        }
        touch(node);
    }

    private void delete(long nowNanos, long zxid, TrackedNode node) {
        long ended = Math.max(zxid, node.latestZxid());
        node.readPending = false;
        pendingReads.remove(node);
        markDeleted(nowNanos, ended, node);
    }

    private void markDeleted(long nowNanos, long zxid, TrackedNode node) {
        node.deletedZxid = Math.max(zxid, node.deletedZxid);
        node.readOverdue = false;
        node.fromLostHistory = false;
        unreadable.forget(node.name);
        if (node.exists()) {
            node.deletedAtNanos = nowNanos;
            deleted.add(node);
            onDeleted.accept(node);
            touch(node);
        }
    }

    private void forget(TrackedNode node) {
        nodes.remove(node.name);
        if (node.wasRead()) {
            remove(node.id(), node);
            touch(node);
        }
    }

    private void remove(String id, TrackedNode node) {
        Set<TrackedNode> same = nodesByServerId.get(id);
        same.remove(node);
        if (same.isEmpty()) {
            nodesByServerId.remove(id);
        }
    }

    private void touch(TrackedNode node) {
        if (node.wasRead()) {
            onTouched.accept(node.id());
        }
    }
}
