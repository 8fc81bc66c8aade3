package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;

/**
 * Receives the events and reads of a session with the coordination service, on the event loop.
 * {@code now}, and times {@code …Nanos}, are nanoseconds on the loop's clock.
 */
interface SessionListener {
    /** The session's state has changed. */
    void onSessionState(long now, SessionState state);

    /** A snapshot, listed at {@code asOfNanos}; {@code zxid}: the highest transaction in it. */
    void onSnapshot(long now, long asOfNanos, long zxid, Map<String, NodeRead> nodes);

    /** A node was created or changed; its data follow with {@link #onNodeRead}. */
    void onNodeChanged(long now, long notifiedAtNanos, long zxid, String name);

    /** The data of a changed node were read. */
    void onNodeRead(long now, String name, NodeRead read);

    /** A node was deleted. */
    void onNodeDeleted(long now, long notifiedAtNanos, long zxid, String name);

    /** The subtree can't be read. */
    void onStale(long now, StalenessCause cause);

    /** An operator accepts the service's state although it is older than before. */
    void onAccepted(long now);

    /** Returns why the list is stale; {@link StalenessCause#NONE} if it is not. */
    StalenessCause staleness();

    /** Returns a listener that forwards to {@code discovery}. */
    static SessionListener of(NodeDiscovery discovery) {
        return new ForwardingSessionListener(discovery);
    }
}
