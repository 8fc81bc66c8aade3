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

/** What a coordination service holds at one point of its history. Pure. */
final class Tree {
    /** Told of what became of nodes. */
    interface NodeListener {
        void changed(EventType what, String path, List<ACL> acl);
    }

    /** The place of a change in the history. */
    record Stamp(long zxid, long unixMillis) {}

    /** What one path holds. */
    static final class Node {
        private byte[] data;
        private List<ACL> acl;
        private final Stat stat;
        private final Set<String> children = new TreeSet<>();

        /** As it holds these, with the stat's {@code cversion} counting children made. */
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

        /** How many children it ever had: the next sequential one's number. */
        int childrenCreated() {
            return stat.getCversion();
        }

        Stat stat() {
            Stat full = copy(stat);
            // Each child made and each one gone counts.
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

        /** Brings back how its stat is now. */
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

    /** What a path holds; null if nothing. */
    Node node(String path) {
        return nodes.get(path);
    }

    /** The sessions that there are, and their time-outs. */
    Map<Long, Integer> sessions() {
        return sessions;
    }

    static String parent(String path) {
        int slash = path.lastIndexOf('/');
        return slash <= 0 ? "/" : path.substring(0, slash);
    }

    /** Does it and says so; returns what undoes a change of nodes, while nothing came after it. */
    Runnable apply(Change change, Stamp at, NodeListener listener) {
        if (change instanceof Change.CreateNode create) {
            return create(create, at, listener);
        } else if (change instanceof Change.DeleteNode delete) {
            return delete(delete.path(), at, listener);
        } else if (change instanceof Change.SetData write) {
            return write(write, at, listener);
        } else if (change instanceof Change.SetAcl guard) {
            Node node = nodes.get(guard.path());
            List<ACL> before = node.acl;
            Runnable stat = node.saveStat();
            node.acl = guard.acl();
            node.stat.setAversion(node.stat.getAversion() + 1);
            return () -> {
                node.acl = before;
                stat.run();
            };
        } else if (change instanceof Change.OpenSession begin) {
            sessions.put(begin.session(), begin.timeout());
        } else if (change instanceof Change.CloseSession end) {
            sessions.remove(end.session());
            for (String path : List.copyOf(ephemerals.getOrDefault(end.session(), Set.of()))) {
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

    private Runnable write(Change.SetData write, Stamp at, NodeListener listener) {
        Node node = nodes.get(write.path());
        byte[] before = node.data;
        Runnable undo = node.saveStat();
        node.data = write.data();
        node.stat.setVersion(node.stat.getVersion() + 1);
        node.stat.setMzxid(at.zxid());
        node.stat.setMtime(at.unixMillis());
        listener.changed(EventType.NodeDataChanged, write.path(), node.acl);
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
