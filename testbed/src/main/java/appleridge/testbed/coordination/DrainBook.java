package appleridge.testbed.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the requests that order servers get against what the sidecar was told of their nodes. An
 * address counts as ended from when the last node that names it was said to be gone, to be of
 * another address, not to be ready or to be unreadable, until one names it again.
 */
final class DrainBook implements Relay.Hearing {
    /** A time for which an address counts as ended; times in nanoseconds. */
    static final class End {
        final String address;
        final long from;
        final NodeReply.What word;
        final String name;
        private long until = Long.MAX_VALUE;
        private long last = -1;
        private int requests;

        private End(String address, long from, NodeReply.What word, String name) {
            this.address = address;
            this.from = from;
            this.word = word;
            this.name = name;
        }

        /** How long after its beginning the last request came; -1 if none did. */
        long delay() {
            return last;
        }

        int requests() {
            return requests;
        }

        /** How long it lasted, as far as it was seen. */
        long length(long now) {
            return Math.min(until, now) - from;
        }
    }

    /** A request that should not have been sent. */
    record Late(String server, String id, long delay, End end) {}

    private final String root;
    private final long allowed;
    private final Map<String, String> addresses = new HashMap<>();
    private final Map<String, Set<String>> holders = new HashMap<>();
    private final Map<String, List<End>> ends = new LinkedHashMap<>();
    private final List<Late> late = new ArrayList<>();
    private long highest;
    private int untold;

    /** With the path above the nodes, and how long after an end requests may still come. */
    DrainBook(String root, long allowed) {
        this.root = root + "/";
        this.allowed = allowed;
    }

    @Override
    public void heard(NodeReply what, long at) {
        if (what.zxid() > 0 && what.zxid() < highest) {
            // An older state is no word of anything.
            return;
        }
        highest = Math.max(highest, what.zxid());
        String path = what.path();
        boolean node = path.startsWith(root);
        switch (what.what()) {
            case GONE -> {
                if (node) {
                    forget(path.substring(root.length()), what.what(), at);
                }
            }
            case HOLDS -> {
                if (node) {
                    holds(path.substring(root.length()), ServerNode.read(what.data()), at);
                }
            }
            case CHILDREN -> {
                if (root.equals(path + "/")) {
                    Set<String> gone = new LinkedHashSet<>(addresses.keySet());
                    what.children().forEach(gone::remove);
                    gone.forEach(name -> forget(name, what.what(), at));
                }
            }
            default -> {}
        }
    }

    private void holds(String name, ServerNode node, long at) {
        if (node == null || !node.ready()) {
            forget(name, NodeReply.What.HOLDS, at);
            return;
        }
        if (!node.address().equals(addresses.get(name))) {
            forget(name, NodeReply.What.HOLDS, at);
            addresses.put(name, node.address());
            holders.computeIfAbsent(node.address(), any -> new LinkedHashSet<>()).add(name);
        }
        List<End> known = ends.computeIfAbsent(node.address(), any -> new ArrayList<>());
        if (!known.isEmpty() && known.get(known.size() - 1).until == Long.MAX_VALUE) {
            known.get(known.size() - 1).until = at;
        }
    }

    private void forget(String name, NodeReply.What word, long at) {
        String address = addresses.remove(name);
        if (address != null
                && holders.get(address).remove(name)
                && holders.get(address).isEmpty()) {
            ends.computeIfAbsent(address, any -> new ArrayList<>())
                    .add(new End(address, at, word, name));
        }
    }

    /** A request's first byte has come to the server at an address. */
    void arrived(String address, String server, String id, long firstByte) {
        List<End> known = ends.get(address);
        if (known == null) {
            untold++;
            return;
        }
        for (int i = known.size() - 1; i >= 0; i--) {
            End end = known.get(i);
            if (end.from <= firstByte) {
                if (firstByte < end.until) {
                    long delay = firstByte - end.from;
                    end.last = Math.max(end.last, delay);
                    end.requests++;
                    if (delay > allowed) {
                        late.add(new Late(server, id, delay, end));
                    }
                }
                return;
            }
        }
    }

    /** All ends, those of one address in their order. */
    List<End> ends() {
        return ends.values().stream().flatMap(List::stream).toList();
    }

    List<Late> late() {
        return late;
    }

    /** Requests at addresses of which nothing was told. */
    int untold() {
        return untold;
    }

    /** Whether the last word of an address was that it is there. */
    boolean there(String address) {
        return !holders.getOrDefault(address, Set.of()).isEmpty();
    }

    /** How many addresses are said to be there. */
    int size() {
        return addresses.size();
    }
}
