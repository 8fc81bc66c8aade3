package appleridge.testbed.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the requests that order servers receive with what the coordination service has told the
 * sidecar about their nodes. An address counts as removed from the moment when the last node that
 * names it is reported deleted, moved to another address, not ready or unreadable, until a ready
 * node names the address again. Times in nanoseconds; not thread-safe.
 */
final class DrainTracker implements Relay.ReplyListener {
    /** A period during which an address counts as removed. */
    static final class Removal {
        final String address;
        final long from;
        final NodeReply.Kind reason;
        final String name;
        private long until = Long.MAX_VALUE;
        private long last = -1;
        private int requests;

        private Removal(String address, long from, NodeReply.Kind reason, String name) {
            this.address = address;
            this.from = from;
            this.reason = reason;
            this.name = name;
        }

        /** The delay from the start of the period to its last request; -1 if there was none. */
        long delay() {
            return last;
        }

        int requests() {
            return requests;
        }

        /** The length of the period, up to {@code now} if it still lasts. */
        long length(long now) {
            return Math.min(until, now) - from;
        }
    }

    /** A request that arrived more than the allowed delay after its server's removal. */
    record RequestAfterRemoval(String server, String id, long delay, Removal removal) {}

    private final String root;
    private final long allowed;
    private final Map<String, String> addressByNode = new HashMap<>();
    private final Map<String, Set<String>> nodesByAddress = new HashMap<>();
    private final Map<String, List<Removal>> removals = new LinkedHashMap<>();
    private final List<RequestAfterRemoval> requestsAfterRemoval = new ArrayList<>();
    private long highestZxid;
    private int requestsAtUnknownAddresses;

    /**
     * Tracks the children of {@code root}; requests may still arrive within {@code allowed} after a
     * removal.
     */
    DrainTracker(String root, long allowed) {
        this.root = root + "/";
        this.allowed = allowed;
    }

    @Override
    public void onReply(NodeReply reply, long at) {
        if (reply.zxid() > 0 && reply.zxid() < highestZxid) {
            // A server that lags reports an old state.
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
        List<Removal> periods = removals.computeIfAbsent(node.address(), any -> new ArrayList<>());
        if (!periods.isEmpty() && periods.get(periods.size() - 1).until == Long.MAX_VALUE) {
            periods.get(periods.size() - 1).until = at;
        }
    }

    private void removeNode(String name, NodeReply.Kind reason, long at) {
        String address = addressByNode.remove(name);
        if (address != null
                && nodesByAddress.get(address).remove(name)
                && nodesByAddress.get(address).isEmpty()) {
            removals.computeIfAbsent(address, any -> new ArrayList<>())
                    .add(new Removal(address, at, reason, name));
        }
    }

    /** Records a request whose first byte arrived at the server at an address. */
    void onRequest(String address, String server, String id, long firstByte) {
        List<Removal> periods = removals.get(address);
        if (periods == null) {
            requestsAtUnknownAddresses++;
            return;
        }
        for (int i = periods.size() - 1; i >= 0; i--) {
            Removal removal = periods.get(i);
            if (removal.from <= firstByte) {
                if (firstByte < removal.until) {
                    long delay = firstByte - removal.from;
                    removal.last = Math.max(removal.last, delay);
                    removal.requests++;
                    if (delay > allowed) {
                        requestsAfterRemoval.add(
                                new RequestAfterRemoval(server, id, delay, removal));
                    }
                }
                return;
            }
        }
    }

    /** All removals; those of one address are in chronological order. */
    List<Removal> removals() {
        return removals.values().stream().flatMap(List::stream).toList();
    }

    List<RequestAfterRemoval> requestsAfterRemoval() {
        return requestsAfterRemoval;
    }

    /** The number of requests at addresses that no node has named. */
    int requestsAtUnknownAddresses() {
        return requestsAtUnknownAddresses;
    }

    /** Whether at least one ready node names the address, as far as the sidecar was told. */
    boolean isPresent(String address) {
        return !nodesByAddress.getOrDefault(address, Set.of()).isEmpty();
    }

    /** The number of ready nodes that the sidecar was told of. */
    int size() {
        return addressByNode.size();
    }
}
