package appleridge.testbed.coordination;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.zookeeper.Watcher.Event.EventType;
import org.apache.zookeeper.Watcher.WatcherType;

/** The watches of one connection. */
final class Watches {
    /** Kinds of watches. DATA and CHILDREN are removed when they fire; the others stay. */
    enum Kind {
        DATA,
        CHILDREN,
        PERSISTENT,
        RECURSIVE
    }

    private final Map<Kind, Set<String>> paths = new EnumMap<>(Kind.class);

    Watches() {
        for (Kind kind : Kind.values()) {
            paths.put(kind, new HashSet<>());
        }
    }

    void add(Kind kind, String path) {
        paths.get(kind).add(path);
    }

    /**
     * Whether an event matches any watch, and so is sent once; removes the one-time watches that it
     * fires.
     */
    boolean notifies(EventType what, String path) {
        boolean found = paths.get(Kind.PERSISTENT).contains(path);
        if (what != EventType.NodeChildrenChanged) {
            found |= paths.get(Kind.DATA).remove(path);
            Set<String> above = paths.get(Kind.RECURSIVE);
            for (String at = path; !found && !above.isEmpty(); at = Tree.parent(at)) {
                found = above.contains(at);
                if (at.equals("/")) {
                    break;
                }
            }
        }
        if (what == EventType.NodeChildrenChanged || what == EventType.NodeDeleted) {
            found |= paths.get(Kind.CHILDREN).remove(path);
        }
        return found;
    }

    /** Whether there are watches of this type on a path; removes them if {@code end}. */
    boolean find(String path, WatcherType type, boolean end) {
        Set<Kind> kinds =
                switch (type) {
                    case Children -> Set.of(Kind.CHILDREN);
                    case Data -> Set.of(Kind.DATA);
                    case Persistent -> Set.of(Kind.PERSISTENT);
                    case PersistentRecursive -> Set.of(Kind.RECURSIVE);
                    default -> Set.of(Kind.values());
                };
        boolean found = false;
        for (Kind kind : kinds) {
            found |= end ? paths.get(kind).remove(path) : paths.get(kind).contains(path);
        }
        return found;
    }
}
