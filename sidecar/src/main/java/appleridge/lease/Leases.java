package appleridge.lease;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The leases of one process, by name. Their number is bounded because each lease costs the store
 * writes for as long as it is held. Confined to one thread.
 */
public final class Leases {
    private final int maxLeases;
    private final int maxAcquiring;
    private final Map<String, Lease> byName = new LinkedHashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param maxLeases the maximum number of leases
     * @param maxAcquiring the maximum number of leases that are being acquired at the same time
     */
    public Leases(int maxLeases, int maxAcquiring) {
        this.maxLeases = maxLeases;
        this.maxAcquiring = maxAcquiring;
    }

    /**
     * Returns the lease with that name, which is created if there is none.
     *
     * @return null if there is none and the maximum number of leases is reached
     */
    public Lease open(String name, Supplier<Lease> factory) {
        Lease known = byName.get(name);
        if (known != null || byName.size() >= maxLeases) {
            return known;
        }
        Lease lease = factory.get();
        byName.put(name, lease);
        return lease;
    }

    /**
     * Starts to acquire a lease.
     *
     * @return false if there is none with that name, or the maximum number is being acquired
     *     already
     */
    public boolean acquire(long nowNanos, String name) {
        Lease lease = byName.get(name);
        if (lease == null || isInactive(lease) && countAcquiring() >= maxAcquiring) {
            return false;
        }
        lease.acquire(nowNanos);
        return true;
    }

    /**
     * Removes a lease that was released or lost.
     *
     * @return false if there is none with that name, or it is held or being acquired
     */
    public boolean close(String name) {
        Lease lease = byName.get(name);
        boolean isUnused = lease != null && isInactive(lease) && !lease.isReleasePending();
        return isUnused && byName.remove(name, lease);
    }

    /** Returns all leases, in the order in which they were opened. */
    public Collection<Lease> all() {
        return List.copyOf(byName.values());
    }

    private static boolean isInactive(Lease lease) {
        return lease.grant() == null && !lease.state().isAcquiring();
    }

    private long countAcquiring() {
        return byName.values().stream().filter(lease -> lease.state().isAcquiring()).count();
    }
}
