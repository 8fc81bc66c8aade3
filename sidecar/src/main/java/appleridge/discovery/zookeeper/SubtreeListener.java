package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;
import org.apache.zookeeper.KeeperException.Code;

/**
 * Takes what a {@link SubtreeWatcher} was notified of and has read. Called on the handle's event
 * thread with the watcher's lock held; methods must not block.
 */
interface SubtreeListener {
    /**
     * The root of the subtree is there.
     *
     * @param czxid the transaction that made it
     * @param latestZxid the latest one that changed it or its children
     * @param accepted its data is {@link SubtreeWatcher#ACCEPT}
     */
    void onRoot(long czxid, long latestZxid, boolean accepted);

    /**
     * The whole subtree as of the last event.
     *
     * @param asOfNanos when its names were listed, on the loop's clock
     * @param zxid the highest transaction in it
     */
    void onSnapshot(long asOfNanos, long zxid, Map<String, NodeRead> nodes);

    /** A node was made, or its data changed. */
    void onNodeChanged(long zxid, String name);

    /** The data of a node of which a change was notified. */
    void onNodeRead(String name, NodeRead read);

    /** A node is gone. */
    void onNodeDeleted(long zxid, String name);

    /** The subtree can't be read; {@link SubtreeWatcher#readAll} is to be called again. */
    void onStale(StalenessCause why);

    /** As {@link #onStale}, for a code that no cause stands for. */
    void onUnexpectedCode(Code code);

    /** Now, on the loop's clock. */
    long nanoTime();
}
