package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;

/**
 * Takes what the coordination service notified and what was read of it, on the event loop. {@code
 * now}, and times {@code …Nanos}, are nanoseconds on the loop's clock.
 */
interface SessionListener {
    /** The session's state has changed. */
    void onSessionState(long now, SessionState state);

    /** The whole subtree, listed at {@code asOfNanos}; {@code zxid}: the highest in it. */
    void onSnapshot(long now, long asOfNanos, long zxid, Map<String, NodeRead> nodes);

    /** A node was made or changed; its data follows with {@link #onNodeRead}. */
    void onNodeChanged(long now, long notifiedAtNanos, long zxid, String name);

    /** The data of a node that had changed. */
    void onNodeRead(long now, String name, NodeRead read);

    /** A node was deleted. */
    void onNodeDeleted(long now, long notifiedAtNanos, long zxid, String name);

    /** The subtree can't be read. */
    void onStale(long now, StalenessCause why);

    /** An operator says that the service's state is right although it runs back. */
    void onAccepted(long now);

    /** Why the list is stale now. */
    StalenessCause staleness();

    /** Hands all on to the list that is made of it. */
    static SessionListener of(NodeDiscovery discovery) {
        return new ForwardingSessionListener(discovery);
    }
}
