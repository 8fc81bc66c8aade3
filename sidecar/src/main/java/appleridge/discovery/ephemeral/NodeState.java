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

/** All nodes: what is told of them in whatever order it comes, and what follows from time alone. */
final class NodeState {
    private final long readWithin;
    private final long goneAfter;

    /** Told the id of each server of which something has changed. */
    private final Consumer<String> touched;

    /** Told of each node that has vanished, before it is touched. */
    private final Consumer<TrackedNode> vanished;

    /** Told of each one that is there for the first time, or again. */
    private final Consumer<TrackedNode> returned;

    private final UnreadableNodes unreadable;
    private final Map<String, TrackedNode> nodes = new LinkedHashMap<>();
    private final Map<String, Set<TrackedNode>> byId = new HashMap<>();
    private final Set<TrackedNode> awaited = new LinkedHashSet<>();
    private final Set<TrackedNode> ending = new LinkedHashSet<>();

    NodeState(
            NodeDiscovery.Settings settings,
            Consumer<String> touched,
            Consumer<TrackedNode> vanished,
            Consumer<TrackedNode> returned,
            UnreadableNodes unreadable) {
        this.readWithin = settings.readWithin();
        this.goneAfter = settings.goneAfter();
        this.touched = touched;
        this.vanished = vanished;
        this.returned = returned;
        this.unreadable = unreadable;
    }

    Collection<TrackedNode> of(String id) {
        return byId.getOrDefault(id, Set.of());
    }

    Collection<String> ids() {
        return byId.keySet();
    }

    /** Nodes that are remembered, whether or not they are there still. */
    int size() {
        return nodes.size();
    }

    /** Whether a node is there, or was told to have been made again. */
    boolean has(String name) {
        TrackedNode node = nodes.get(name);
        return node != null && (node.isThere() || node.awaited);
    }

    void changed(long now, long told, long zxid, String name) {
        TrackedNode node = nodes.get(name);
        if (node == null) {
            node = add(name);
        }
        node.changedAt = told;
        if (zxid > 0 && zxid <= (node.isThere() ? node.mzxid : node.vanishedZxid)) {
            return;
        }
        node.awaitedZxid = Math.max(zxid, node.awaited ? node.awaitedZxid : 0);
        node.awaitedSince = node.awaited ? node.awaitedSince : told;
        node.awaited = true;
        // It has been made again, whatever its data will be.
        node.ofOldHistory = false;
        awaited.add(node);
        lateIfSo(now, node);
    }

    void read(long mzxid, String name, NodeRead read) {
        TrackedNode node = nodes.get(name);
        if (node != null
                && (node.isThere() || node.awaited)
                && !isOfEnded(node, read)
                && isLatest(node, mzxid, read)) {
            take(node, read);
        }
    }

    /** A node that can't be read need not tell of its transactions either. */
    private static boolean isLatest(TrackedNode node, long mzxid, NodeRead read) {
        return mzxid >= node.latestZxid() || read.data() == null && mzxid <= 0;
    }

    /** Whether that was read of a node which has ended since. */
    private static boolean isOfEnded(TrackedNode node, NodeRead read) {
        return !node.isThere() && read.czxid() <= node.vanishedZxid;
    }

    void gone(long now, long zxid, String name) {
        TrackedNode node = nodes.get(name);
        if (node == null) {
            // Danger: what was read of it before its end may still come.
            node = add(name);
        } else if (zxid > 0 && zxid < node.latestZxid()) {
            // Made again since, as was told; what is known of it is of the one that has ended.
            if (node.awaited && zxid > Math.max(node.czxid, node.mzxid)) {
                end(now, zxid, node);
            }
            return;
        }
        vanish(now, zxid, node);
    }

    /**
     * The whole subtree as it was while {@code told} or later; what was told of since then may be
     * newer.
     */
    void snapshot(long now, long told, Map<String, NodeRead> read) {
        read.forEach(
                (name, each) -> {
                    TrackedNode node = nodes.get(name);
                    if (node == null) {
                        node = add(name);
                    }
                    if (!isOfEnded(node, each) && isLatest(node, each.mzxid(), each)) {
                        take(node, each);
                    }
                });
        for (TrackedNode each : new ArrayList<>(nodes.values())) {
            if (!read.containsKey(each.name) && each.changedAt < told && !each.ofOldHistory) {
                vanish(now, 0, each);
            }
        }
    }

    /** The ensemble counts anew: whatever it says of a node is newer than what it said before. */
    void newHistory() {
        for (TrackedNode each : nodes.values()) {
            each.czxid = 0;
            each.mzxid = 0;
            each.awaitedZxid = 0;
            each.vanishedZxid = 0;
            each.changedAt = Long.MIN_VALUE;
            each.ofOldHistory = each.isThere();
        }
    }

    /** Who has not come back into the new history by now does not. */
    void endOldHistory(long now) {
        for (TrackedNode each : new ArrayList<>(nodes.values())) {
            if (each.ofOldHistory) {
                vanish(now, 0, each);
            }
        }
    }

    void tick(long now) {
        awaited.forEach(node -> lateIfSo(now, node));
        for (Iterator<TrackedNode> all = ending.iterator(); all.hasNext(); ) {
            TrackedNode node = all.next();
            if (node.isThere()) {
                all.remove();
            } else if (!node.awaited && now - node.vanishedAt >= goneAfter) {
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

    private void lateIfSo(long now, TrackedNode node) {
        if (!node.late && now - node.awaitedSince >= readWithin) {
            node.late = true;
            touch(node);
        }
    }

    private void take(TrackedNode node, NodeRead read) {
        String before = node.id();
        boolean wasThere = before != null && node.isThere();
        node.take(read);
        awaited.remove(node);
        ending.remove(node);
        if (read.data() == null) {
            unreadable.add(node.name, read.problem());
        } else {
            unreadable.readable(node.name);
        }
        String after = node.id();
        if (before != null && !before.equals(after)) {
            remove(before, node);
            touched.accept(before);
        }
        if (after != null && !after.equals(before)) {
            byId.computeIfAbsent(after, id -> new LinkedHashSet<>()).add(node);
        }
        if (!wasThere && !node.unreadable) {
            returned.accept(node);
        }
        touch(node);
    }

    private void vanish(long now, long zxid, TrackedNode node) {
        long ended = Math.max(zxid, node.latestZxid());
        node.awaited = false;
        awaited.remove(node);
        end(now, ended, node);
    }

    private void end(long now, long zxid, TrackedNode node) {
        node.vanishedZxid = Math.max(zxid, node.vanishedZxid);
        node.late = false;
        node.ofOldHistory = false;
        unreadable.forget(node.name);
        if (node.isThere()) {
            node.vanishedAt = now;
            ending.add(node);
            vanished.accept(node);
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
        Set<TrackedNode> same = byId.get(id);
        same.remove(node);
        if (same.isEmpty()) {
            byId.remove(id);
        }
    }

    private void touch(TrackedNode node) {
        if (node.wasRead()) {
            touched.accept(node.id());
        }
    }
}
