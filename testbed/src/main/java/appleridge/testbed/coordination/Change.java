package appleridge.testbed.coordination;

import java.util.List;
import org.apache.zookeeper.data.ACL;

/**
 * One step of a coordination service's history, found right by {@link Rules}, which any member can
 * apply.
 */
sealed interface Change {
    /** A node is made; {@code owner}: the session that it ends with, or 0. */
    record CreateNode(String path, byte[] data, List<ACL> acl, long owner) implements Change {}

    /** A node is taken away. */
    record DeleteNode(String path) implements Change {}

    /** A node holds other data. */
    record SetData(String path, byte[] data) implements Change {}

    /** Others may do something with a node. */
    record SetAcl(String path, List<ACL> acl) implements Change {}

    /** Nothing changes: a version was only looked at. */
    record CheckVersion(String path) implements Change {}

    /** A session begins. */
    record OpenSession(long session, int timeout) implements Change {}

    /** A session ends, and its nodes with it. */
    record CloseSession(long session) implements Change {}
}
