package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;

/** Forwards the events and reads of a ZooKeeper session to a {@link NodeDiscovery}. */
final class ForwardingSessionListener implements SessionListener {
    private final NodeDiscovery discovery;

    ForwardingSessionListener(NodeDiscovery discovery) {
        this.discovery = discovery;
    }

    @Override
    public void onSessionState(long now, SessionState state) {
        discovery.onSessionState(now, state);
    }

    @Override
    public void onSnapshot(long now, long asOfNanos, long zxid, Map<String, NodeRead> nodes) {
        discovery.onSnapshot(now, asOfNanos, zxid, nodes);
    }

    @Override
    public void onNodeChanged(long now, long notifiedAtNanos, long zxid, String name) {
        discovery.onNodeChanged(now, notifiedAtNanos, zxid, name);
    }

    @Override
    public void onNodeRead(long now, String name, NodeRead read) {
        discovery.onNodeRead(now, read.mzxid(), name, read);
    }

    @Override
    public void onNodeDeleted(long now, long notifiedAtNanos, long zxid, String name) {
        discovery.onNodeDeleted(now, notifiedAtNanos, zxid, name);
    }

    @Override
    public void onStale(long now, StalenessCause cause) {
        discovery.markStale(now, cause);
    }

    @Override
    public void onAccepted(long now) {
        discovery.acceptState(now);
    }

    @Override
    public StalenessCause staleness() {
        return discovery.staleness();
    }
}
