package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.NodeDiscovery;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.SessionState;
import appleridge.discovery.ephemeral.StalenessCause;
import java.util.Map;

/** Who is told, on the loop; times are those of the loop's clock. */
interface SessionListener {
    void session(long now, SessionState state);

    void snapshot(long now, long told, long zxid, Map<String, NodeRead> nodes);

    void changed(long now, long told, long zxid, String name);

    void read(long now, String name, NodeRead read);

    void gone(long now, long told, long zxid, String name);

    void doubt(long now, StalenessCause why);

    void accept(long now);

    /** What it makes of that. */
    StalenessCause doubt();

    /** The one that matters. */
    static SessionListener of(NodeDiscovery membership) {
        return new SessionListener() {
            @Override
            public void session(long now, SessionState state) {
                membership.session(now, state);
            }

            @Override
            public void snapshot(long now, long told, long zxid, Map<String, NodeRead> nodes) {
                membership.snapshot(now, told, zxid, nodes);
            }

            @Override
            public void changed(long now, long told, long zxid, String name) {
                membership.changed(now, told, zxid, name);
            }

            @Override
            public void read(long now, String name, NodeRead read) {
                membership.read(now, read.mzxid(), name, read);
            }

            @Override
            public void gone(long now, long told, long zxid, String name) {
                membership.gone(now, told, zxid, name);
            }

            @Override
            public void doubt(long now, StalenessCause why) {
                membership.doubt(now, why);
            }

            @Override
            public void accept(long now) {
                membership.accept(now);
            }

            @Override
            public StalenessCause doubt() {
                return membership.doubt();
            }
        };
    }
}
