package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The merged endpoint list: each host as merged from the sources, and what of it was published. The
 * list depends only on the present state of the sources, not on the order of their updates. Not
 * thread-safe.
 */
final class MergedEndpoints {
    private final NodeState nodes;
    private final RegistryState registry;
    private final Map<String, Candidate> candidates = new HashMap<>();
    private final AddressIndex addresses = new AddressIndex();
    private final Map<String, DiscoveredEndpoint> published = new LinkedHashMap<>();

    MergedEndpoints(NodeState nodes, RegistryState registry) {
        this.nodes = nodes;
        this.registry = registry;
    }

    /** Returns the number of published hosts. */
    int size() {
        return published.size();
    }

    /** Merges these ids again and returns what changed; it counts as published from then on. */
    List<DiscoveredEndpoint> changes(Collection<String> touched) {
        Set<String> affected = new LinkedHashSet<>();
        for (String id : touched) {
            affected.add(id);
            affected.addAll(addresses.at(addresses.of(id)));
            Candidate candidate = candidate(id);
            if (candidate == null) {
                candidates.remove(id);
                addresses.put(id, null);
            } else {
                candidates.put(id, candidate);
                addresses.put(id, candidate.member().address());
                affected.addAll(addresses.at(candidate.member().address()));
            }
        }
        List<DiscoveredEndpoint> gone = new ArrayList<>();
        List<DiscoveredEndpoint> changed = new ArrayList<>();
        for (String id : affected) {
            DiscoveredEndpoint next = endpointToPublish(id);
            DiscoveredEndpoint before =
                    next == null ? published.remove(id) : published.put(id, next);
            if (next == null && before != null) {
                gone.add(before.withState(HostState.GONE));
            } else if (next != null && !next.equals(before)) {
                changed.add(next);
            }
        }
        markDisplaced(affected);
        gone.addAll(changed);
        return gone;
    }

    /** Returns all published hosts. */
    List<DiscoveredEndpoint> all() {
        return List.copyOf(published.values());
    }

    /** Whether the change of an id can't wait: requests go to a host that must not get any. */
    boolean isUrgent(String id) {
        Candidate next = candidate(id);
        if (next != null) {
            for (String other : addresses.at(next.member().address())) {
                if (!other.equals(id) && isPublishedReady(other)) {
                    return true;
                }
            }
        }
        if (!isPublishedReady(id)) {
            return false;
        }
        DiscoveredEndpoint before = published.get(id);
        return next == null
                || next.member().state() != HostState.READY
                || !next.member().address().equals(before.address())
                || next.member().startedAtUnixMillis() != before.startedAtUnixMillis();
    }

    /**
     * Marks hosts that have lost their address to a process that started later. Without the mark
     * they would be listed again when that process ends, and requests to them would reach it while
     * it drains, or reach the next process at that address.
     */
    private void markDisplaced(Collection<String> affected) {
        for (String id : affected) {
            Candidate candidate = candidates.get(id);
            if (candidate == null || published.containsKey(id)) {
                continue;
            }
            for (String other : addresses.at(candidate.member().address())) {
                DiscoveredEndpoint holder = published.get(other);
                if (holder != null
                        && holder.startedAtUnixMillis()
                                > candidate.member().startedAtUnixMillis()) {
                    nodes.byServerId(id).forEach(TrackedNode::markDisplaced);
                    registry.markDisplaced(id);
                    candidates.remove(id);
                    addresses.put(id, null);
                    break;
                }
            }
        }
    }

    private boolean isPublishedReady(String id) {
        DiscoveredEndpoint member = published.get(id);
        return member != null && member.state() == HostState.READY;
    }

    private DiscoveredEndpoint endpointToPublish(String id) {
        Candidate candidate = candidates.get(id);
        if (candidate == null) {
            return null;
        }
        InetSocketAddress address = candidate.member().address();
        for (String other : addresses.at(address)) {
            if (Candidate.FIRST_AT_ADDRESS.compare(candidates.get(other), candidate) < 0) {
                return null;
            }
        }
        return candidate.member();
    }

    private Candidate candidate(String id) {
        TrackedNode node = null;
        for (TrackedNode each : nodes.byServerId(id)) {
            if (!each.isEnded()
                    && (node == null
                            || Candidate.FIRST_AT_ADDRESS.compare(candidate(each), candidate(node))
                                    < 0)) {
                node = each;
            }
        }
        DiscoveredEndpoint listed = registry.liveEndpoint(id);
        if (node == null) {
            return listed == null ? null : new Candidate(listed, true, false, 0);
        }
        if (listed == null) {
            return candidate(node);
        }
        // What the registry lists although the node was deleted is another process.
        if (!node.exists()) {
            return new Candidate(listed, true, false, 0);
        }
        DiscoveredEndpoint own = node.endpoint();
        boolean drains = own.state() != HostState.READY || listed.state() != HostState.READY;
        DiscoveredEndpoint latest =
                listed.startedAtUnixMillis() > own.startedAtUnixMillis() ? listed : own;
        return new Candidate(
                latest.withState(drains ? HostState.DRAINING : HostState.READY),
                true,
                true,
                node.czxid);
    }

    private static Candidate candidate(TrackedNode node) {
        return new Candidate(node.endpoint(), node.exists(), true, node.czxid);
    }
}
