package appleridge.loadbalancing;

/**
 * A sum with exponential decay: an amount added one window ago still counts with the factor 1/e.
 */
final class DecayingSum {
    private final double windowNanos;
    private double value;
    private long updatedAt;

    DecayingSum(double windowNanos) {
        this.windowNanos = windowNanos;
    }

    double windowNanos() {
        return windowNanos;
    }

    /** The sum at {@code now}, which must not lie before the last addition. */
    double value(long now) {
        return value * Math.exp((updatedAt - now) / windowNanos);
    }

    void add(long now, double amount) {
        value = value(now) + amount;
        updatedAt = now;
    }
}
