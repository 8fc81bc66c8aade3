package appleridge.testbed.coordination;

import java.util.List;
import org.apache.zookeeper.data.ACL;

/**
 * One entry of the replicated log. {@link Rules} has already validated it, so every member applies
 * it without further checks.
 */
sealed interface Change {
    /**
     * Creates a node. {@code owner} is the session that the node is ephemeral to, or 0 if it is
     * persistent.
     */
    record CreateNode(String path, byte[] data, List<ACL> acl, long owner) implements Change {}

    /** Deletes a node without children. */
    record DeleteNode(String path) implements Change {}

    /** Replaces a node's data. */
    record SetData(String path, byte[] data) implements Change {}

    /** Replaces a node's access control list. */
    record SetAcl(String path, List<ACL> acl) implements Change {}

    /** Changes nothing; records a version check inside a multi request. */
    record CheckVersion(String path) implements Change {}

    /** Opens a session with a time-out in milliseconds. */
    record OpenSession(long session, int timeout) implements Change {}

    /** Closes a session and deletes its ephemeral nodes. */
    record CloseSession(long session) implements Change {}
}
