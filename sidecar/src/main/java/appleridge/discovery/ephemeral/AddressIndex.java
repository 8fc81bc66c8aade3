package appleridge.discovery.ephemeral;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Maps addresses to the ids listed there, in the order of listing. Not thread-safe. */
final class AddressIndex {
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InetSocketAddress, Set<String>> ids = new HashMap<>();

    /** Sets the address of an id; null removes the id. */
    void put(String id, InetSocketAddress address) {
        InetSocketAddress before =
                address == null ? addresses.remove(id) : addresses.put(id, address);
        if (before != null && !before.equals(address)) {
            Set<String> same = ids.get(before);
            same.remove(id);
            if (same.isEmpty()) {
                ids.remove(before);
            }
        }
        if (address != null && !address.equals(before)) {
            ids.computeIfAbsent(address, any -> new LinkedHashSet<>(2)).add(id);
        }
    }

    /** Returns the ids at an address; empty if there are none. */
    Collection<String> at(InetSocketAddress address) {
        return ids.getOrDefault(address, Set.of());
    }

    /** Returns the address of an id; null if it has none. */
    InetSocketAddress of(String id) {
        return addresses.get(id);
    }
}
