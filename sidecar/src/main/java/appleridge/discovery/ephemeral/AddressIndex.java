package appleridge.discovery.ephemeral;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Which ids are listed at which address, in the order of their listing. Not thread-safe. */
final class AddressIndex {
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InetSocketAddress, Set<String>> ids = new HashMap<>();

    /** An id is at this address from now on; null: at none. */
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

    /** The ids at an address. */
    Collection<String> at(InetSocketAddress address) {
        return ids.getOrDefault(address, Set.of());
    }

    /** The address of an id; null for none. */
    InetSocketAddress of(String id) {
        return addresses.get(id);
    }
}
