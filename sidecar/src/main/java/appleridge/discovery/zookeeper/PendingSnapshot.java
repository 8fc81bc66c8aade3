package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A snapshot of the subtree that is being read: complete once all listings have arrived and every
 * listed node was read or is known not to exist. Not thread-safe: guarded by the owner's lock.
 */
final class PendingSnapshot {
    private boolean collecting;
    private Map<String, NodeRead> nodes = new LinkedHashMap<>();
    private final Set<String> unread = new HashSet<>();
    private int openListings;
    private long listedAtNanos;

    /** Begins a snapshot; {@code shardListings}: listings of shards that are still to come. */
    void begin(long nowNanos, int shardListings) {
        collecting = true;
        listedAtNanos = nowNanos;
        openListings = shardListings;
    }

    /** Drops the snapshot. */
    void reset() {
        collecting = false;
        openListings = 0;
        nodes = new LinkedHashMap<>();
        unread.clear();
    }

    boolean isCollecting() {
        return collecting;
    }

    /** The listing of a shard has arrived, or the shard does not exist. */
    void onShardListed() {
        openListings--;
    }

    /** Adds a node to read; whether it was not read or added before. */
    boolean expect(String name) {
        return !nodes.containsKey(name) && unread.add(name);
    }

    /** Adds the result of reading a node. */
    void put(String name, NodeRead read) {
        nodes.put(name, read);
        unread.remove(name);
    }

    /** A node does not exist; the watch notifies its deletion. */
    void onMissing(String name) {
        unread.remove(name);
    }

    /** Removes a node whose deletion the watch has notified. */
    void remove(String name) {
        nodes.remove(name);
        unread.remove(name);
    }

    boolean isComplete() {
        return collecting && openListings == 0 && unread.isEmpty();
    }

    /** Returns when the names were listed, on the loop's clock. */
    long listedAtNanos() {
        return listedAtNanos;
    }

    /** Ends the snapshot and returns its nodes. */
    Map<String, NodeRead> complete() {
        Map<String, NodeRead> complete = nodes;
        collecting = false;
        nodes = new LinkedHashMap<>();
        return complete;
    }
}
