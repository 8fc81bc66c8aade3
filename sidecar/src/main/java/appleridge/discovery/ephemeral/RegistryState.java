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
 * What the registry lists, and which of that has ended by the deletion of a node. A server is the
 * process that began at its start: what begins later under the same id is another one, whose end
 * was not notified.
 */
final class RegistryState {
    /**
     * How far apart, in milliseconds, two sources may name one process's start. Taken for two
     * processes, the end that one source notifies would be undone by the other, slower one.
     */
    static final long SAME_START_TOLERANCE_MILLIS = 5000;

    /**
     * An upstream as the registry lists it, and whether an end told by its node stands against
     * that.
     */
    private static final class Entry {
        DiscoveredEndpoint endpoint;

        /** Latest start that has ended, by the end of a node; {@link Long#MIN_VALUE} for none. */
        long endedStartMillis = Long.MIN_VALUE;

        boolean isEnded() {
            return endedStartMillis >= endpoint.startedAtUnixMillis();
        }
    }

    private final Consumer<String> onTouched;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final AddressIndex addresses = new AddressIndex();

    RegistryState(Consumer<String> touched) {
        this.onTouched = touched;
    }

    /** What it lists of an id and has not ended; null for none. */
    DiscoveredEndpoint liveEndpoint(String id) {
        Entry entry = entries.get(id);
        return entry == null || entry.isEnded() ? null : entry.endpoint;
    }

    Collection<String> ids() {
        return entries.keySet();
    }

    /**
     * Takes a list over; told of each member that is listed, and of each that the registry ends.
     */
    void update(
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
                                boolean missing = !left.contains(entry.endpoint.id());
                                if (missing) {
                                    addresses.put(entry.endpoint.id(), null);
                                    end(entry.endpoint, ended);
                                }
                                return missing;
                            });
        }
        for (DiscoveredEndpoint member : members) {
            if (member.state() == HostState.GONE) {
                Entry entry = entries.remove(member.id());
                addresses.put(member.id(), null);
                end(entry == null ? member : entry.endpoint, ended);
            } else {
                entries.computeIfAbsent(member.id(), id -> new Entry()).endpoint = member;
                addresses.put(member.id(), member.address());
                listed.accept(member);
                onTouched.accept(member.id());
            }
        }
    }

    private void end(DiscoveredEndpoint member, Consumer<DiscoveredEndpoint> ended) {
        ended.accept(member);
        onTouched.accept(member.id());
    }

    /**
     * The node of a server has vanished: what the registry has of that process is as good as gone.
     */
    void onNodeDeleted(DiscoveredEndpoint node) {
        for (Entry each : entriesOfProcess(node)) {
            DiscoveredEndpoint listed = each.endpoint;
            long untilMillis =
                    listed.id().equals(node.id())
                            ? node.startedAtUnixMillis() + SAME_START_TOLERANCE_MILLIS
                            : node.startedAtUnixMillis();
            if (listed.startedAtUnixMillis() <= untilMillis) {
                each.endedStartMillis = Math.max(each.endedStartMillis, untilMillis);
                onTouched.accept(listed.id());
            }
        }
    }

    /**
     * The same of a node that was never read: whatever process it stood for, it is the one listed.
     */
    void onNodeDeleted(String name) {
        Entry entry = entries.get(name);
        if (entry != null) {
            entry.endedStartMillis =
                    Math.max(
                            entry.endedStartMillis,
                            entry.endpoint.startedAtUnixMillis() + SAME_START_TOLERANCE_MILLIS);
            onTouched.accept(name);
        }
    }

    /** A process that began later is listed at its address. */
    void markDisplaced(String id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.endedStartMillis =
                    Math.max(entry.endedStartMillis, entry.endpoint.startedAtUnixMillis());
        }
    }

    /** A server has its node again. */
    void onNodeReturned(DiscoveredEndpoint node) {
        for (Entry each : entriesOfProcess(node)) {
            if (each.endedStartMillis != Long.MIN_VALUE) {
                each.endedStartMillis = Long.MIN_VALUE;
                onTouched.accept(each.endpoint.id());
            }
        }
    }

    /** One process may be listed under two ids; only one can listen at an address. */
    private List<Entry> entriesOfProcess(DiscoveredEndpoint node) {
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
