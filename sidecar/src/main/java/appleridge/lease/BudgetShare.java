package appleridge.lease;

/**
 * This process's share of a budget of the whole fleet, in whole permits: the shares of all
 * processes never sum to more than the budget. A share that shrinks is waited out for the grace
 * period before another grows, so {@link LeaseParameters#maxOperationNanos()} has to be the time
 * over which the budget is counted. Less than one permit is given in turn, never rounded up.
 *
 * <p>Confined to the thread of its permits.
 */
public final class BudgetShare {
    private final long total;
    private final Permits permits;

    /**
     * Creates a share of nothing.
     *
     * @param total the budget of the fleet, in the smallest units in which it is spent
     * @param permits those into which it is divided
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
     * Sets how many units are wanted until this is called again. Any wanted amount above 0 asks for
     * one permit at least, even if it is worth more.
     */
    public void setWanted(long nowNanos, long units) {
        permits.setWanted(nowNanos, units <= 0 || total == 0 ? 0 : permitsFor(units));
    }

    private int permitsFor(long units) {
        long count = permits.leases().size();
        return (int) Math.max(1, Math.min(units, total) * count / total);
    }

    /** The units that may be spent now on operations that end within that time. */
    public long available(long nowNanos, long durationNanos) {
        return total * permits.usable(nowNanos, durationNanos) / permits.leases().size();
    }
}
