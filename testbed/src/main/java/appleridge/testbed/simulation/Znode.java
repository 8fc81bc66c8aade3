package appleridge.testbed.simulation;

import appleridge.discovery.ephemeral.NodeData;
import appleridge.discovery.ephemeral.NodeRead;

/**
 * A server's node.
 *
 * @param data null while it can't be read
 * @param bornAt when its server began, in the day's time; 0 for long ago
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
