package appleridge.testbed.coordination;

import java.util.List;

/**
 * What a coordination server reported about a node to a client, in a response or a notification.
 *
 * @param session the client's session
 * @param zxid the transaction that is reported; in a response, the last one that the server had
 *     applied
 * @param data the node's data; empty unless the kind is {@code HOLDS}
 * @param children the children's names; empty unless the kind is {@code CHILDREN}
 */
public record NodeReply(
        long session, Kind kind, String path, long zxid, String data, List<String> children) {
    /** What is reported. */
    enum Kind {
        /** The node was created; the data is not included. */
        MADE,
        /** The node's data has changed; the new data is not included. */
        CHANGED,
        /** The node was deleted or does not exist. */
        GONE,
        /** The node's data. */
        HOLDS,
        /** The names of the node's children. */
        CHILDREN
    }
}
