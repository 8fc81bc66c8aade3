package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;
import org.apache.zookeeper.KeeperException.Code;

/**
 * Receives the events and reads of a {@link SubtreeWatcher}. Called on the handle's event thread
 * with the watcher's lock held; methods must not block.
 */
interface SubtreeListener {
    /**
     * The root of the subtree was read.
     *
     * @param czxid the transaction that created it
     * @param latestZxid the latest one that changed it or its children
     * @param accepted whether its data are {@link SubtreeWatcher#ACCEPT}
     */
    void onRoot(long czxid, long latestZxid, boolean accepted);

    /**
     * The whole subtree was read; it is up to date with the last event.
     *
     * @param asOfNanos when its names were listed, on the loop's clock
     * @param zxid the highest transaction in it
     */
    void onSnapshot(long asOfNanos, long zxid, Map<String, NodeRead> nodes);

    /** A node was created, or its data were changed. */
    void onNodeChanged(long zxid, String name);

    /** The data of a changed node were read. */
    void onNodeRead(String name, NodeRead read);

    /** A node was deleted. */
    void onNodeDeleted(long zxid, String name);

    /** The subtree can't be read; {@link SubtreeWatcher#readAll} must be called again. */
    void onStale(StalenessCause cause);

    /** As {@link #onStale}, for a code that has no {@link StalenessCause}. */
    void onUnexpectedCode(Code code);

    /** Returns the current time on the loop's clock. */
    long nanoTime();
}
