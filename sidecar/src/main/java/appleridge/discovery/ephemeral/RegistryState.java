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
 * The registry's list, and which of its entries have ended by the deletion of a node. A process is
 * identified by its start: one that starts later under the same id is another process, whose end
 * was not notified. Not thread-safe.
 */
final class RegistryState {
    /**
     * Tolerance, in milliseconds, between the starts that two sources state for one process. If
     * they were taken for two processes, the slower source would undo the end that the other
     * notified.
     */
    static final long SAME_START_TOLERANCE_MILLIS = 5000;

    /** A host as the registry lists it, and the end of its process if its node was deleted. */
    private static final class Entry {
        DiscoveredEndpoint endpoint;

        /** Processes started until then have ended; {@link Long#MIN_VALUE} for none. */
        long endedStartMillis = Long.MIN_VALUE;

        boolean isEnded() {
            return endedStartMillis >= endpoint.startedAtUnixMillis();
        }
    }

    private final Consumer<String> onTouched;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final AddressIndex addresses = new AddressIndex();

    RegistryState(Consumer<String> onTouched) {
        this.onTouched = onTouched;
    }

    /** Returns the endpoint of an id; null if it is not listed or its process has ended. */
    DiscoveredEndpoint liveEndpoint(String id) {
        Entry entry = entries.get(id);
        return entry == null || entry.isEnded() ? null : entry.endpoint;
    }

    Collection<String> ids() {
        return entries.keySet();
    }

    /**
     * Applies an update.
     *
     * @param listed receives each endpoint that the update lists
     * @param ended receives each endpoint that the update removes
     */
    void update(
            UpdateKind kind,
            Collection<DiscoveredEndpoint> members,
            Consumer<DiscoveredEndpoint> listed,
            Consumer<DiscoveredEndpoint> ended) {
        if (kind != UpdateKind.DELTA) {
            Set<String> listedIds = new HashSet<>();
            members.forEach(member -> listedIds.add(member.id()));
            entries.values()
                    .removeIf(
                            entry -> {
                                boolean missing = !listedIds.contains(entry.endpoint.id());
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

    /** Ends the entries of the process whose node was deleted. */
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

    /** Ends the entry of a deleted node that was never read, taken to be of the listed process. */
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

    /** Ends an entry whose address a process that started later holds. */
    void markDisplaced(String id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.endedStartMillis =
                    Math.max(entry.endedStartMillis, entry.endpoint.startedAtUnixMillis());
        }
    }

    /** Reverts the end of a process whose node exists again. */
    void onNodeReturned(DiscoveredEndpoint node) {
        for (Entry each : entriesOfProcess(node)) {
            if (each.endedStartMillis != Long.MIN_VALUE) {
                each.endedStartMillis = Long.MIN_VALUE;
                onTouched.accept(each.endpoint.id());
            }
        }
    }

    /**
     * Returns the entries of a node's process: all at its address, where only one process can
     * listen, and the one of its id.
     */
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
