package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;

/** Who is told, on the loop; times are those of the loop's clock. */
interface SessionListener {
    void onSessionState(long now, SessionState state);

    void onSnapshot(long now, long asOfNanos, long zxid, Map<String, NodeRead> nodes);

    void onNodeChanged(long now, long notifiedAtNanos, long zxid, String name);

    void onNodeRead(long now, String name, NodeRead read);

    void onNodeDeleted(long now, long notifiedAtNanos, long zxid, String name);

    void doubt(long now, StalenessCause why);

    void onAccepted(long now);

    /** What it makes of that. */
    StalenessCause doubt();

    /** The one that matters. */
    static SessionListener of(NodeDiscovery membership) {
        return new SessionListener() {
            @Override
            public void onSessionState(long now, SessionState state) {
                membership.session(now, state);
            }

            @Override
            public void onSnapshot(long now, long told, long zxid, Map<String, NodeRead> nodes) {
                membership.snapshot(now, told, zxid, nodes);
            }

            @Override
            public void onNodeChanged(long now, long told, long zxid, String name) {
                membership.changed(now, told, zxid, name);
            }

            @Override
            public void onNodeRead(long now, String name, NodeRead read) {
                membership.read(now, read.mzxid(), name, read);
            }

            @Override
            public void onNodeDeleted(long now, long told, long zxid, String name) {
                membership.gone(now, told, zxid, name);
            }

            @Override
            public void doubt(long now, StalenessCause why) {
                membership.doubt(now, why);
            }

            @Override
            public void onAccepted(long now) {
                membership.accept(now);
            }

            @Override
            public StalenessCause doubt() {
                return membership.doubt();
            }
        };
    }
}
