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
final class DrainTracker implements Relay.ReplyListener {
    /** A time for which an address counts as ended; times in nanoseconds. */
    static final class End {
        final String address;
        final long from;
        final NodeReply.Kind reason;
        final String name;
        private long until = Long.MAX_VALUE;
        private long last = -1;
        private int requests;

        private End(String address, long from, NodeReply.Kind reason, String name) {
            this.address = address;
            this.from = from;
            this.reason = reason;
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
    private final Map<String, String> addressByNode = new HashMap<>();
    private final Map<String, Set<String>> nodesByAddress = new HashMap<>();
    private final Map<String, List<End>> ends = new LinkedHashMap<>();
    private final List<Late> lateRequests = new ArrayList<>();
    private long highestZxid;
    private int unknownAddresses;

    /** With the path above the nodes, and how long after an end requests may still come. */
    DrainTracker(String root, long allowed) {
        this.root = root + "/";
        this.allowed = allowed;
    }

    @Override
    public void onReply(NodeReply reply, long at) {
        if (reply.zxid() > 0 && reply.zxid() < highestZxid) {
            // An older state is no word of anything.
            return;
        }
        highestZxid = Math.max(highestZxid, reply.zxid());
        String path = reply.path();
        boolean node = path.startsWith(root);
        switch (reply.kind()) {
            case GONE -> {
                if (node) {
                    removeNode(path.substring(root.length()), reply.kind(), at);
                }
            }
            case HOLDS -> {
                if (node) {
                    updateNode(path.substring(root.length()), ServerNode.read(reply.data()), at);
                }
            }
            case CHILDREN -> {
                if (root.equals(path + "/")) {
                    Set<String> gone = new LinkedHashSet<>(addressByNode.keySet());
                    reply.children().forEach(gone::remove);
                    gone.forEach(name -> removeNode(name, reply.kind(), at));
                }
            }
            default -> {}
        }
    }

    private void updateNode(String name, ServerNode node, long at) {
        if (node == null || !node.ready()) {
            removeNode(name, NodeReply.Kind.HOLDS, at);
            return;
        }
        if (!node.address().equals(addressByNode.get(name))) {
            removeNode(name, NodeReply.Kind.HOLDS, at);
            addressByNode.put(name, node.address());
            nodesByAddress.computeIfAbsent(node.address(), any -> new LinkedHashSet<>()).add(name);
        }
        List<End> periods = ends.computeIfAbsent(node.address(), any -> new ArrayList<>());
        if (!periods.isEmpty() && periods.get(periods.size() - 1).until == Long.MAX_VALUE) {
            periods.get(periods.size() - 1).until = at;
        }
    }

    private void removeNode(String name, NodeReply.Kind reason, long at) {
        String address = addressByNode.remove(name);
        if (address != null
                && nodesByAddress.get(address).remove(name)
                && nodesByAddress.get(address).isEmpty()) {
            ends.computeIfAbsent(address, any -> new ArrayList<>())
                    .add(new End(address, at, reason, name));
        }
    }

    /** A request's first byte has come to the server at an address. */
    void arrived(String address, String server, String id, long firstByte) {
        List<End> periods = ends.get(address);
        if (periods == null) {
            unknownAddresses++;
            return;
        }
        for (int i = periods.size() - 1; i >= 0; i--) {
            End end = periods.get(i);
            if (end.from <= firstByte) {
                if (firstByte < end.until) {
                    long delay = firstByte - end.from;
                    end.last = Math.max(end.last, delay);
                    end.requests++;
                    if (delay > allowed) {
                        lateRequests.add(new Late(server, id, delay, end));
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

    List<Late> lateRequests() {
        return lateRequests;
    }

    /** Requests at addresses of which nothing was told. */
    int unknownAddresses() {
        return unknownAddresses;
    }

    /** Whether the last word of an address was that it is there. */
    boolean isPresent(String address) {
        return !nodesByAddress.getOrDefault(address, Set.of()).isEmpty();
    }

    /** How many addresses are said to be there. */
    int size() {
        return addressByNode.size();
    }
}
