package appleridge.lease;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The leases of one process, by name. Danger: each costs the store writes for as long as it is
 * held.
 */
public final class Leases {
    private final int most;
    private final int mostSeeking;
    private final Map<String, Lease> byName = new LinkedHashMap<>();

    /** With how many there may be, and how many of them may be asked for at once. */
    public Leases(int most, int mostSeeking) {
        this.most = most;
        this.mostSeeking = mostSeeking;
    }

    /** The lease of that name, made if there is none; null if there are as many as there may be. */
    public Lease open(String name, Supplier<Lease> made) {
        Lease known = byName.get(name);
        if (known != null || byName.size() >= most) {
            return known;
        }
        Lease lease = made.get();
        byName.put(name, lease);
        return lease;
    }

    /** Asks for it; false if there is none, or if as many wait already as may. */
    public boolean seek(long now, String name) {
        Lease lease = byName.get(name);
        if (lease == null
                || lease.grant() == null
                        && !seeks(lease)
                        && byName.values().stream().filter(Leases::seeks).count() >= mostSeeking) {
            return false;
        }
        lease.seek(now);
        return true;
    }

    /** Forgets one that was given away or lost; false while it is held or asked for. */
    public boolean close(String name) {
        Lease lease = byName.get(name);
        boolean idle = lease != null && lease.grant() == null && !seeks(lease) && !lease.isGiving();
        return idle && byName.remove(name, lease);
    }

    public Collection<Lease> all() {
        return List.copyOf(byName.values());
    }

    private static boolean seeks(Lease lease) {
        return lease.state() == LeaseState.SEEKING || lease.state() == LeaseState.REFUSING;
    }
}
