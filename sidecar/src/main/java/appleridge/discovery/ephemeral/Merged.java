package appleridge.discovery.ephemeral;

import appleridge.discovery.Member;
import appleridge.loadbalancing.Balancer.State;
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
 * The one list: each upstream as the sources together have it, and what of that has been told. What
 * is to be told follows from what the sources have now, not from the order in which they came to
 * it.
 */
final class Merged {
    private final NodeBook nodes;
    private final RegistryBook registry;
    private final Map<String, Candidate> candidates = new HashMap<>();
    private final AddressIndex addresses = new AddressIndex();
    private final Map<String, Member> told = new LinkedHashMap<>();

    Merged(NodeBook nodes, RegistryBook registry) {
        this.nodes = nodes;
        this.registry = registry;
    }

    /** Upstreams that are listed. */
    int size() {
        return told.size();
    }

    /** What has changed of these since it was told last; counts as told from now on. */
    List<Member> changes(Collection<String> touched) {
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
        List<Member> gone = new ArrayList<>();
        List<Member> changed = new ArrayList<>();
        for (String id : affected) {
            Member next = listed(id);
            Member before = next == null ? told.remove(id) : told.put(id, next);
            if (next == null && before != null) {
                gone.add(before.in(State.GONE));
            } else if (next != null && !next.equals(before)) {
                changed.add(next);
            }
        }
        displace(affected);
        gone.addAll(changed);
        return gone;
    }

    /** All that is listed. */
    List<Member> all() {
        return List.copyOf(told.values());
    }

    /** Whether it would matter at once that this is told: work goes to where it should not. */
    boolean isPressing(String id) {
        Candidate next = candidate(id);
        if (next != null) {
            for (String other : addresses.at(next.member().address())) {
                if (!other.equals(id) && isToldReady(other)) {
                    return true;
                }
            }
        }
        if (!isToldReady(id)) {
            return false;
        }
        Member before = told.get(id);
        return next == null
                || next.member().state() != State.READY
                || !next.member().address().equals(before.address())
                || next.member().startedMillis() != before.startedMillis();
    }

    /**
     * Danger: who has lost its address to a process that began later would be back in the list when
     * that one ends, and what is sent to it reaches the later one, that drains, or the one after
     * that.
     */
    private void displace(Collection<String> affected) {
        for (String id : affected) {
            Candidate candidate = candidates.get(id);
            if (candidate == null || told.containsKey(id)) {
                continue;
            }
            for (String other : addresses.at(candidate.member().address())) {
                Member there = told.get(other);
                if (there != null && there.startedMillis() > candidate.member().startedMillis()) {
                    nodes.of(id).forEach(KnownNode::displace);
                    registry.displace(id);
                    candidates.remove(id);
                    addresses.put(id, null);
                    break;
                }
            }
        }
    }

    private boolean isToldReady(String id) {
        Member member = told.get(id);
        return member != null && member.state() == State.READY;
    }

    private Member listed(String id) {
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
        KnownNode node = null;
        for (KnownNode each : nodes.of(id)) {
            if (!each.isEnded()
                    && (node == null
                            || Candidate.FIRST_AT_ADDRESS.compare(candidate(each), candidate(node))
                                    < 0)) {
                node = each;
            }
        }
        Member listed = registry.of(id);
        if (node == null) {
            return listed == null ? null : new Candidate(listed, true, false, 0);
        }
        if (listed == null) {
            return candidate(node);
        }
        // What the registry lists in spite of a vanished node is another process.
        if (!node.isThere()) {
            return new Candidate(listed, true, false, 0);
        }
        Member own = node.member();
        boolean drains = own.state() != State.READY || listed.state() != State.READY;
        Member last = listed.startedMillis() > own.startedMillis() ? listed : own;
        return new Candidate(
                last.in(drains ? State.DRAINING : State.READY), true, true, node.czxid);
    }

    private static Candidate candidate(KnownNode node) {
        return new Candidate(node.member(), node.isThere(), true, node.czxid);
    }
}
