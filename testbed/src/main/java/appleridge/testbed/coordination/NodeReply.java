package appleridge.testbed.coordination;

import java.util.List;

/**
 * What a coordination server said of a node to a client, in an answer or because it changed.
 *
 * @param session whose client it is
 * @param zxid the change that it tells of; for an answer, the last one that the server had made
 * @param data what the node holds; empty if that isn't said
 * @param children their names; empty if they aren't said
 */
public record NodeReply(
        long session, Kind kind, String path, long zxid, String data, List<String> children) {
    /** What is said. */
    enum Kind {
        /** It was made; not what it holds. */
        MADE,
        /** What it holds has changed; not to what. */
        CHANGED,
        /** It is no more, or there is none. */
        GONE,
        /** What it holds. */
        HOLDS,
        /** Which children it has. */
        CHILDREN
    }
}
