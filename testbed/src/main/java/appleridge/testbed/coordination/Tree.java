package appleridge.testbed.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.zookeeper.Watcher.Event.EventType;
import org.apache.zookeeper.data.ACL;
import org.apache.zookeeper.data.Stat;

/** The nodes and sessions after some prefix of the log. Free of I/O; not thread-safe. */
final class Tree {
    /** Receives the events of changed nodes, with the access control list that applies to each. */
    interface NodeListener {
        void changed(EventType what, String path, List<ACL> acl);
    }

    /** The transaction and the time of a change. */
    record Stamp(long zxid, long unixMillis) {}

    /** The data, access control list and children of one path. */
    static final class Node {
        private byte[] data;
        private List<ACL> acl;
        private final Stat stat;
        private final Set<String> children = new TreeSet<>();

        /**
         * Creates a node; in the stored stat, {@code cversion} counts only the children created.
         */
        private Node(byte[] data, List<ACL> acl, Stat stat) {
            this.data = data;
            this.acl = acl;
            this.stat = stat;
        }

        byte[] data() {
            return data;
        }

        List<ACL> acl() {
            return acl;
        }

        List<String> children() {
            return List.copyOf(children);
        }

        /** The number of children ever created, which is the next sequence number. */
        int childrenCreated() {
            return stat.getCversion();
        }

        Stat stat() {
            Stat full = copy(stat);
            // On the wire, cversion counts the children created and the children deleted.
            full.setCversion(2 * stat.getCversion() - children.size());
            full.setNumChildren(children.size());
            full.setDataLength(data == null ? 0 : data.length);
            return full;
        }

        private static Stat copy(Stat stat) {
            Stat copy = new Stat();
            copy.copyFrom(stat);
            return copy;
        }

        /** Returns an action that restores the stat to its current value. */
        private Runnable saveStat() {
            Stat before = copy(stat);
            return () -> stat.copyFrom(before);
        }
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<Long, Integer> sessions = new TreeMap<>();
    private final Map<Long, Set<String>> ephemerals = new HashMap<>();

    Tree() {
        nodes.put("/", new Node(new byte[0], Rules.OPEN_ACL, new Stat()));
    }

    /** Returns the node at a path; null if there is none. */
    Node node(String path) {
        return nodes.get(path);
    }

    /** The open sessions with their time-outs in milliseconds. */
    Map<Long, Integer> sessions() {
        return sessions;
    }

    static String parent(String path) {
        int slash = path.lastIndexOf('/');
        return slash <= 0 ? "/" : path.substring(0, slash);
    }

    /**
     * Applies a change and notifies the listener. Returns an action that undoes a change of nodes,
     * provided that no later change is applied; changes of sessions are not undone.
     */
    Runnable apply(Change change, Stamp at, NodeListener listener) {
        if (change instanceof Change.CreateNode create) {
            return create(create, at, listener);
        } else if (change instanceof Change.DeleteNode delete) {
            return delete(delete.path(), at, listener);
        } else if (change instanceof Change.SetData set) {
            return setData(set, at, listener);
        } else if (change instanceof Change.SetAcl set) {
            Node node = nodes.get(set.path());
            List<ACL> before = node.acl;
            Runnable stat = node.saveStat();
            node.acl = set.acl();
            node.stat.setAversion(node.stat.getAversion() + 1);
            return () -> {
                node.acl = before;
                stat.run();
            };
        } else if (change instanceof Change.OpenSession open) {
            sessions.put(open.session(), open.timeout());
        } else if (change instanceof Change.CloseSession close) {
            sessions.remove(close.session());
            for (String path : List.copyOf(ephemerals.getOrDefault(close.session(), Set.of()))) {
                delete(path, at, listener);
            }
        }
        return () -> {};
    }

    private Runnable create(Change.CreateNode create, Stamp at, NodeListener listener) {
        Stat stat =
                new Stat(
                        at.zxid(),
                        at.zxid(),
                        at.unixMillis(),
                        at.unixMillis(),
                        0,
                        0,
                        0,
                        create.owner(),
                        0,
                        0,
                        at.zxid());
        String above = parent(create.path());
        Node parent = nodes.get(above);
        Runnable undo = parent.saveStat();
        put(create.path(), new Node(create.data(), create.acl(), stat));
        parent.stat.setCversion(parent.stat.getCversion() + 1);
        parent.stat.setPzxid(at.zxid());
        listener.changed(EventType.NodeCreated, create.path(), create.acl());
        listener.changed(EventType.NodeChildrenChanged, above, parent.acl);
        return () -> {
            remove(create.path());
            undo.run();
        };
    }

    private Runnable delete(String path, Stamp at, NodeListener listener) {
        String above = parent(path);
        Node parent = nodes.get(above);
        Runnable undo = parent.saveStat();
        Node node = remove(path);
        parent.stat.setPzxid(at.zxid());
        listener.changed(EventType.NodeDeleted, path, node.acl);
        listener.changed(EventType.NodeChildrenChanged, above, parent.acl);
        return () -> {
            put(path, node);
            undo.run();
        };
    }

    private Runnable setData(Change.SetData set, Stamp at, NodeListener listener) {
        Node node = nodes.get(set.path());
        byte[] before = node.data;
        Runnable undo = node.saveStat();
        node.data = set.data();
        node.stat.setVersion(node.stat.getVersion() + 1);
        node.stat.setMzxid(at.zxid());
        node.stat.setMtime(at.unixMillis());
        listener.changed(EventType.NodeDataChanged, set.path(), node.acl);
        return () -> {
            node.data = before;
            undo.run();
        };
    }

    private void put(String path, Node node) {
        nodes.put(path, node);
        nodes.get(parent(path)).children.add(path.substring(path.lastIndexOf('/') + 1));
        long owner = node.stat.getEphemeralOwner();
        if (owner != 0) {
            ephemerals.computeIfAbsent(owner, any -> new TreeSet<>()).add(path);
        }
    }

    private Node remove(String path) {
        Node node = nodes.remove(path);
        nodes.get(parent(path)).children.remove(path.substring(path.lastIndexOf('/') + 1));
        long owner = node.stat.getEphemeralOwner();
        if (owner != 0) {
            ephemerals.get(owner).remove(path);
            ephemerals.computeIfPresent(owner, (any, paths) -> paths.isEmpty() ? null : paths);
        }
        return node;
    }
}
