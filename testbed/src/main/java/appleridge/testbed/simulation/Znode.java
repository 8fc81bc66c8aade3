package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.discovery.ephemeral.NodeRead;

/**
 * The ephemeral node of an order server.
 *
 * @param data null while it is unreadable
 * @param bornAt when its server started, in nanoseconds of the day; 0 for before the day
 */
record Znode(
        String name,
        long czxid,
        long mzxid,
        long createdMillis,
        NodeData data,
        int life,
        long bornAt) {
    Znode with(long zxid, NodeData other) {
        return new Znode(name, czxid, zxid, createdMillis, other, life, bornAt);
    }

    NodeRead read() {
        return new NodeRead(data, data == null ? "garbled" : null, createdMillis, mzxid, czxid);
    }
}
