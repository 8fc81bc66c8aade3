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
    interface Told {
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
        int made() {
            return stat.getCversion();
        }

        Stat stat() {
            Stat told = copy(stat);
            // Each child made and each one gone counts.
            told.setCversion(2 * stat.getCversion() - children.size());
            told.setNumChildren(children.size());
            told.setDataLength(data == null ? 0 : data.length);
            return told;
        }

        private static Stat copy(Stat stat) {
            Stat copy = new Stat();
            copy.copyFrom(stat);
            return copy;
        }

        /** Brings back how its stat is now. */
        private Runnable asItIs() {
            Stat before = copy(stat);
            return () -> stat.copyFrom(before);
        }
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<Long, Integer> sessions = new TreeMap<>();
    private final Map<Long, Set<String>> owned = new HashMap<>();

    Tree() {
        nodes.put("/", new Node(new byte[0], Rules.OPEN, new Stat()));
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
    Runnable apply(Change change, Stamp at, Told told) {
        if (change instanceof Change.Make make) {
            return make(make, at, told);
        } else if (change instanceof Change.Drop drop) {
            return drop(drop.path(), at, told);
        } else if (change instanceof Change.Write write) {
            return write(write, at, told);
        } else if (change instanceof Change.Guard guard) {
            Node node = nodes.get(guard.path());
            List<ACL> before = node.acl;
            Runnable stat = node.asItIs();
            node.acl = guard.acl();
            node.stat.setAversion(node.stat.getAversion() + 1);
            return () -> {
                node.acl = before;
                stat.run();
            };
        } else if (change instanceof Change.Begin begin) {
            sessions.put(begin.session(), begin.timeout());
        } else if (change instanceof Change.End end) {
            sessions.remove(end.session());
            for (String path : List.copyOf(owned.getOrDefault(end.session(), Set.of()))) {
                drop(path, at, told);
            }
        }
        return () -> {};
    }

    private Runnable make(Change.Make make, Stamp at, Told told) {
        Stat stat =
                new Stat(
                        at.zxid(),
                        at.zxid(),
                        at.unixMillis(),
                        at.unixMillis(),
                        0,
                        0,
                        0,
                        make.owner(),
                        0,
                        0,
                        at.zxid());
        String above = parent(make.path());
        Node parent = nodes.get(above);
        Runnable undo = parent.asItIs();
        put(make.path(), new Node(make.data(), make.acl(), stat));
        parent.stat.setCversion(parent.stat.getCversion() + 1);
        parent.stat.setPzxid(at.zxid());
        told.changed(EventType.NodeCreated, make.path(), make.acl());
        told.changed(EventType.NodeChildrenChanged, above, parent.acl);
        return () -> {
            take(make.path());
            undo.run();
        };
    }

    private Runnable drop(String path, Stamp at, Told told) {
        String above = parent(path);
        Node parent = nodes.get(above);
        Runnable undo = parent.asItIs();
        Node node = take(path);
        parent.stat.setPzxid(at.zxid());
        told.changed(EventType.NodeDeleted, path, node.acl);
        told.changed(EventType.NodeChildrenChanged, above, parent.acl);
        return () -> {
            put(path, node);
            undo.run();
        };
    }

    private Runnable write(Change.Write write, Stamp at, Told told) {
        Node node = nodes.get(write.path());
        byte[] before = node.data;
        Runnable undo = node.asItIs();
        node.data = write.data();
        node.stat.setVersion(node.stat.getVersion() + 1);
        node.stat.setMzxid(at.zxid());
        node.stat.setMtime(at.unixMillis());
        told.changed(EventType.NodeDataChanged, write.path(), node.acl);
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
            owned.computeIfAbsent(owner, any -> new TreeSet<>()).add(path);
        }
    }

    private Node take(String path) {
        Node node = nodes.remove(path);
        nodes.get(parent(path)).children.remove(path.substring(path.lastIndexOf('/') + 1));
        long owner = node.stat.getEphemeralOwner();
        if (owner != 0) {
            owned.get(owner).remove(path);
            owned.computeIfPresent(owner, (any, paths) -> paths.isEmpty() ? null : paths);
        }
        return node;
    }
}
