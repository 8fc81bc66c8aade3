package appleridge.lease;

/**
 * A part of a budget that the fleet shares, in whole permits: those of all together never make more
 * than the whole. A part that shrinks is waited out before another grows, as long as the terms'
 * longest act is the time over which the budget is counted. What is smaller than one permit is
 * given by turn, never rounded up.
 */
public final class BudgetShare {
    private final long whole;
    private final Permits permits;

    /** With a whole in the smallest units in which it is spent. */
    public BudgetShare(long whole, Permits permits) {
        if (whole < 0 || whole > Long.MAX_VALUE / Permits.MOST) {
            throw new IllegalArgumentException("whole out of range: " + whole);
        }
        this.whole = whole;
        this.permits = permits;
    }

    /**
     * Wants so much from now on; of a little the permit that holds it, until something else is
     * wanted.
     */
    public void want(long now, long part) {
        long count = permits.leases().size();
        long wanted =
                whole == 0 || part <= 0 ? 0 : Math.max(1, Math.min(part, whole) * count / whole);
        permits.want(now, (int) wanted);
    }

    /** What may be spent now on things that end within that time. */
    public long part(long now, long lasting) {
        return whole * permits.usable(now, lasting) / permits.leases().size();
    }
}
