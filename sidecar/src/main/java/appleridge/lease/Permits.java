package appleridge.lease;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * A fleet-wide semaphore. Each permit is a record with a lease of its own, so that no more permits
 * are held than there are records, whatever fails.
 *
 * <p>Confined to one thread. Events go to the leases directly; {@link #reconcile} has to be called
 * after each of them.
 */
public final class Permits {
    /** More permits under one name would overload the store: each is renewed by its own write. */
    public static final int MAX_PERMITS = 64;

    private final List<Lease> leases;
    private int wanted;

    /**
     * Creates permits of which none is wanted yet.
     *
     * @param count from 1 to {@value #MAX_PERMITS}
     * @param leaseFactory creates the lease of each permit, numbered from 0
     * @throws IllegalArgumentException if the count is out of range
     */
    public Permits(int count, IntFunction<Lease> leaseFactory) {
        if (count < 1 || count > MAX_PERMITS) {
            throw new IllegalArgumentException(
                    "number of permits is " + count + "; allowed: 1 to " + MAX_PERMITS);
        }
        leases = IntStream.range(0, count).mapToObj(leaseFactory).toList();
    }

    /** The leases of all permits, held or not. */
    public List<Lease> leases() {
        return leases;
    }

    /**
     * Sets how many permits are wanted from now on. Those held beyond that number may no longer be
     * used, and are released after the grace period.
     */
    public void setWanted(long nowNanos, int permits) {
        wanted = Math.max(0, Math.min(permits, leases.size()));
        reconcile(nowNanos);
    }

    /**
     * Releases the permits held beyond the wanted number. While permits are missing, tries to
     * acquire all that aren't held, because it is unknown which one becomes free next.
     */
    public void reconcile(long nowNanos) {
        int held = releaseExcess(nowNanos);
        for (Lease lease : leases) {
            if (held < wanted) {
                lease.acquire(nowNanos);
            } else if (lease.state().isAcquiring()) {
                lease.releaseAfterGracePeriod(nowNanos);
            }
        }
    }

    /** Releases the excess permits and returns how many of the wanted ones are held. */
    private int releaseExcess(long nowNanos) {
        int held = 0;
        for (Lease lease : leases) {
            if (lease.grant() != null && held < wanted) {
                held++;
            } else if (lease.grant() != null) {
                lease.releaseAfterGracePeriod(nowNanos);
            }
        }
        return held;
    }

    /** How many permits may be used now for an operation that ends within that duration. */
    public int usable(long nowNanos, long durationNanos) {
        return (int)
                leases.stream()
                        .filter(lease -> lease.mayStart(nowNanos, durationNanos))
                        .limit(wanted)
                        .count();
    }
}
