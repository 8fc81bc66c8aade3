package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A reading of the whole subtree that is under way: complete once every listing has come and every
 * listed node was read or is known to be gone. Not thread-safe: guarded by the owner's lock.
 */
final class PendingSnapshot {
    private boolean collecting;
    private Map<String, NodeRead> nodes = new LinkedHashMap<>();
    private final Set<String> unread = new HashSet<>();
    private int openListings;
    private long listedAtNanos;

    /** Begins; {@code openListings}: listings of shards that are still to come. */
    void begin(long nowNanos, int listings) {
        collecting = true;
        listedAtNanos = nowNanos;
        openListings = listings;
    }

    /** Drops what was read. */
    void reset() {
        collecting = false;
        openListings = 0;
        nodes = new LinkedHashMap<>();
        unread.clear();
    }

    boolean isCollecting() {
        return collecting;
    }

    /** The listing of a shard has come, or the shard is gone. */
    void onShardListed() {
        openListings--;
    }

    /** A node has to be read; whether that was not known before. */
    boolean expect(String name) {
        return !nodes.containsKey(name) && unread.add(name);
    }

    /** A node was read. */
    void put(String name, NodeRead read) {
        nodes.put(name, read);
        unread.remove(name);
    }

    /** A node was found to be gone; its deletion is notified by the watch. */
    void onMissing(String name) {
        unread.remove(name);
    }

    /** The watch has notified a node's deletion. */
    void remove(String name) {
        nodes.remove(name);
        unread.remove(name);
    }

    boolean isComplete() {
        return collecting && openListings == 0 && unread.isEmpty();
    }

    /** When the names were listed, on the loop's clock. */
    long listedAtNanos() {
        return listedAtNanos;
    }

    /** Ends the reading and hands its nodes out. */
    Map<String, NodeRead> complete() {
        Map<String, NodeRead> complete = nodes;
        collecting = false;
        nodes = new LinkedHashMap<>();
        return complete;
    }
}
