package appleridge.discovery;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks which upstream host holds each address. A new host may take the address of one that has
 * ended before the endpoint list shows the end; a request sent to the old host would then reach the
 * new one. Only one process can listen at an address, so of two hosts listed at one address the one
 * that started last holds it.
 *
 * <p>A list may be older than the one before it and name a host whose address a later host has
 * taken. The last holder of an address is therefore remembered after it is no longer listed. Not
 * thread-safe.
 */
public final class AddressOwnership {
    /** Bound on remembered addresses, and on remembered hosts; the least recently used go. */
    private static final int MAX_REMEMBERED = 4096;

    private record Holder(String id, long startedAt) {}

    /** The address and the start that a host was last listed with. */
    private record Listing(InetSocketAddress address, long startedAt) {
        /** Used instead of {@code equals}, which the JVM would generate during process start. */
        boolean matches(Listing before) {
            return before != null
                    && startedAt == before.startedAt
                    && address.equals(before.address);
        }
    }

    private final Map<InetSocketAddress, Holder> lastHolders = newLruMap();
    private final Map<String, Listing> lastListings = newLruMap();
    private final Map<InetSocketAddress, Holder> holders = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();

    /**
     * Registers a host that is listed at an address.
     *
     * @param startedAt when it started, on one clock for all hosts; 0 for long ago
     * @return the id of the host that does not hold the address after this call: the previous
     *     holder, or {@code id} itself; null if no host is displaced
     */
    public String register(String id, InetSocketAddress address, long startedAt) {
        releaseIfMoved(id, address);
        Listing listing = new Listing(address, startedAt);
        Holder last = lastHolders.get(address);
        if (listing.matches(lastListings.put(id, listing))
                && last != null
                && !last.id.equals(id)
                && startedAt < last.startedAt
                && !holders.containsKey(address)) {
            return id;
        }
        addresses.put(id, address);
        Holder holder = holders.get(address);
        if (holder != null && !holder.id.equals(id) && startedAt <= holder.startedAt) {
            return startedAt < holder.startedAt ? id : null;
        }
        holders.put(address, new Holder(id, startedAt));
        lastHolders.put(address, new Holder(id, startedAt));
        return holder == null || holder.id.equals(id) ? null : holder.id;
    }

    /**
     * Releases the previous address of a host that is about to be listed at another one. Must be
     * called for every host of a list before any of them is registered: otherwise, of two hosts
     * that swap addresses in one list, each would find its new address still held by the other.
     */
    public void releaseIfMoved(String id, InetSocketAddress address) {
        InetSocketAddress before = addresses.get(id);
        if (before != null && !before.equals(address)) {
            addresses.remove(id);
            release(id, before);
        }
    }

    /** Releases the address of a host that is no longer listed. */
    public void forget(String id) {
        InetSocketAddress address = addresses.remove(id);
        if (address != null) {
            release(id, address);
        }
    }

    /** Releases the addresses of all hosts but these. */
    public void retain(Collection<String> ids) {
        addresses.keySet().retainAll(ids);
        holders.values().removeIf(holder -> !ids.contains(holder.id));
    }

    private static <K, V> Map<K, V> newLruMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > MAX_REMEMBERED;
            }
        };
    }

    private void release(String id, InetSocketAddress address) {
        Holder holder = holders.get(address);
        if (holder != null && holder.id.equals(id)) {
            holders.remove(address);
        }
    }
}
