package appleridge.discovery.zookeeper;

import appleridge.discovery.ephemeral.Doubt;
import appleridge.discovery.ephemeral.NodeMembership;
import appleridge.discovery.ephemeral.NodeRead;
import appleridge.discovery.ephemeral.Session;
import java.util.Map;

/** Who is told, on the loop; times are those of the loop's clock. */
interface Hearer {
    void session(long now, Session state);

    void snapshot(long now, long told, long zxid, Map<String, NodeRead> nodes);

    void changed(long now, long told, long zxid, String name);

    void read(long now, String name, NodeRead read);

    void gone(long now, long told, long zxid, String name);

    void doubt(long now, Doubt why);

    void accept(long now);

    /** What it makes of that. */
    Doubt doubt();

    /** The one that matters. */
    static Hearer of(NodeMembership membership) {
        return new Hearer() {
            @Override
            public void session(long now, Session state) {
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
            public void doubt(long now, Doubt why) {
                membership.doubt(now, why);
            }

            @Override
            public void accept(long now) {
                membership.accept(now);
            }

            @Override
            public Doubt doubt() {
                return membership.doubt();
            }
        };
    }
}
