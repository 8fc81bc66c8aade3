package appleridge.discovery;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which upstream host holds which address. A host may take the address of one that has gone before
 * the list knows of that, and what is sent to the old one reaches the new one. Only one process can
 * listen at an address, so of two that are listed there the one that started last holds it.
 *
 * <p>A list may be older than the one before it and name a process again whose address a later one
 * has taken; so the last holder of an address is remembered beyond its being listed. Not
 * thread-safe.
 */
public final class AddressOwnership {
    /** Addresses and hosts that are remembered beyond being listed, the latest ones. */
    private static final int MAX_REMEMBERED = 4096;

    private record Holder(String id, long startedAt) {}

    /** Where a host was listed last. */
    private record Listing(InetSocketAddress address, long startedAt) {
        /** Instead of equals, which the JVM would have to make while the process starts. */
        boolean same(Listing before) {
            return before != null
                    && startedAt == before.startedAt
                    && address.equals(before.address);
        }
    }

    private final Map<InetSocketAddress, Holder> lastHolders = boundedByUse();
    private final Map<String, Listing> places = boundedByUse();
    private final Map<InetSocketAddress, Holder> holders = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();

    /**
     * A host is listed at an address.
     *
     * @param startedAt when it started, on any clock that all starts are on; 0 for long ago
     * @return the id of the host that is not at the address (any more): another one, or this one;
     *     null for none
     */
    public String register(String id, InetSocketAddress address, long startedAt) {
        releaseIfMoved(id, address);
        Listing place = new Listing(address, startedAt);
        Holder last = lastHolders.get(address);
        if (place.same(places.put(id, place))
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
     * A host is about to be listed at an address. To be called for all of a list before any of it
     * is registered: of two hosts that swap addresses in one list, each would else find the other
     * one still there.
     */
    public void releaseIfMoved(String id, InetSocketAddress address) {
        InetSocketAddress before = addresses.get(id);
        if (before != null && !before.equals(address)) {
            addresses.remove(id);
            release(id, before);
        }
    }

    /** A host is listed no more. */
    public void forget(String id) {
        InetSocketAddress address = addresses.remove(id);
        if (address != null) {
            release(id, address);
        }
    }

    /** Forgets all but these. */
    public void retain(Collection<String> ids) {
        addresses.keySet().retainAll(ids);
        holders.values().removeIf(holder -> !ids.contains(holder.id));
    }

    private static <K, V> Map<K, V> boundedByUse() {
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
