package appleridge.lease;

/**
 * This process's share of a fleet-wide budget, in whole permits: the shares of all processes never
 * sum to more than the budget. After a share shrinks, the grace period passes before another one
 * grows, so {@link LeaseParameters#maxOperationNanos()} has to be the time over which the budget is
 * counted. Permits are never split or rounded up: processes with a share of less than one permit
 * hold it in turn.
 *
 * <p>Confined to the thread of its permits.
 */
public final class BudgetShare {
    private final long total;
    private final Permits permits;

    /**
     * Creates a share of which nothing is wanted yet.
     *
     * @param total the fleet's budget, in the smallest units in which it is spent
     * @param permits the permits into which the budget is divided
     * @throws IllegalArgumentException if the total is negative or too large to be multiplied
     */
    public BudgetShare(long total, Permits permits) {
        long max = Long.MAX_VALUE / Permits.MAX_PERMITS;
        if (total < 0 || total > max) {
            throw new IllegalArgumentException(
                    "total budget is " + total + "; allowed: 0 to " + max);
        }
        this.total = total;
        this.permits = permits;
    }

    /**
     * Sets how many units this process wants from now on. Any amount above 0 acquires at least one
     * permit, even if a permit is worth more.
     */
    public void setWanted(long nowNanos, long units) {
        permits.setWanted(nowNanos, units <= 0 || total == 0 ? 0 : permitsFor(units));
    }

    private int permitsFor(long units) {
        long count = permits.leases().size();
        return (int) Math.max(1, Math.min(units, total) * count / total);
    }

    /** The units that may be spent now on operations that end within {@code durationNanos}. */
    public long available(long nowNanos, long durationNanos) {
        return total * permits.usable(nowNanos, durationNanos) / permits.leases().size();
    }
}
