package appleridge.discovery.ephemeral;

import appleridge.discovery.DiscoveredEndpoint;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.UpdateKind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What the registry lists, and which of that a node's end has spoken of already. A server is the
 * process that began at its start: what begins later under the same id is another one, of which no
 * end has been told.
 */
final class RegistryState {
    /**
     * Two sources may name one process's start so far apart, in milliseconds. Danger: taken for
     * two, the end that one source tells would be undone by the other, slower one.
     */
    static final long SAME_START = 5000;

    /**
     * An upstream as the registry lists it, and whether an end told by its node stands against
     * that.
     */
    private static final class Entry {
        DiscoveredEndpoint member;

        /** Latest start that has ended, by the end of a node; {@link Long#MIN_VALUE} for none. */
        long endedStart = Long.MIN_VALUE;

        boolean isEnded() {
            return endedStart >= member.startedAtUnixMillis();
        }
    }

    private final Consumer<String> touched;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final AddressIndex addresses = new AddressIndex();

    RegistryState(Consumer<String> touched) {
        this.touched = touched;
    }

    /** What it lists of an id and has not ended; null for none. */
    DiscoveredEndpoint of(String id) {
        Entry entry = entries.get(id);
        return entry == null || entry.isEnded() ? null : entry.member;
    }

    Collection<String> ids() {
        return entries.keySet();
    }

    /**
     * Takes a list over; told of each member that is listed, and of each that the registry ends.
     */
    void take(
            UpdateKind kind,
            Collection<DiscoveredEndpoint> members,
            Consumer<DiscoveredEndpoint> listed,
            Consumer<DiscoveredEndpoint> ended) {
        if (kind != UpdateKind.DELTA) {
            Set<String> left = new HashSet<>();
            members.forEach(member -> left.add(member.id()));
            entries.values()
                    .removeIf(
                            entry -> {
                                boolean missing = !left.contains(entry.member.id());
                                if (missing) {
                                    addresses.put(entry.member.id(), null);
                                    end(entry.member, ended);
                                }
                                return missing;
                            });
        }
        for (DiscoveredEndpoint member : members) {
            if (member.state() == HostState.GONE) {
                Entry entry = entries.remove(member.id());
                addresses.put(member.id(), null);
                end(entry == null ? member : entry.member, ended);
            } else {
                entries.computeIfAbsent(member.id(), id -> new Entry()).member = member;
                addresses.put(member.id(), member.address());
                listed.accept(member);
                touched.accept(member.id());
            }
        }
    }

    private void end(DiscoveredEndpoint member, Consumer<DiscoveredEndpoint> ended) {
        ended.accept(member);
        touched.accept(member.id());
    }

    /**
     * The node of a server has vanished: what the registry has of that process is as good as gone.
     */
    void nodeVanished(DiscoveredEndpoint node) {
        for (Entry each : speakingOf(node)) {
            DiscoveredEndpoint listed = each.member;
            long until =
                    listed.id().equals(node.id())
                            ? node.startedAtUnixMillis() + SAME_START
                            : node.startedAtUnixMillis();
            if (listed.startedAtUnixMillis() <= until) {
                each.endedStart = Math.max(each.endedStart, until);
                touched.accept(listed.id());
            }
        }
    }

    /**
     * The same of a node that was never read: whatever process it stood for, it is the one listed.
     */
    void nodeVanished(String name) {
        Entry entry = entries.get(name);
        if (entry != null) {
            entry.endedStart =
                    Math.max(entry.endedStart, entry.member.startedAtUnixMillis() + SAME_START);
            touched.accept(name);
        }
    }

    /** A process that began later is listed at its address. */
    void displace(String id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.endedStart = Math.max(entry.endedStart, entry.member.startedAtUnixMillis());
        }
    }

    /** A server has its node again. */
    void nodeReturned(DiscoveredEndpoint node) {
        for (Entry each : speakingOf(node)) {
            if (each.endedStart != Long.MIN_VALUE) {
                each.endedStart = Long.MIN_VALUE;
                touched.accept(each.member.id());
            }
        }
    }

    /** One process may be listed under two ids; only one can listen at an address. */
    private List<Entry> speakingOf(DiscoveredEndpoint node) {
        List<Entry> same = new ArrayList<>();
        for (String id : addresses.at(node.address())) {
            same.add(entries.get(id));
        }
        Entry own = entries.get(node.id());
        if (own != null && !same.contains(own)) {
            same.add(own);
        }
        return same;
    }
}
