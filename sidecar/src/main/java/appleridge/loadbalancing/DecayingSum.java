package appleridge.loadbalancing;

/** A sum over an exponentially decaying window: what was added a window ago counts by 1/e. */
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

    /** The sum as of {@code now}, which must not lie before the last addition. */
    double value(long now) {
        return value * Math.exp((updatedAt - now) / windowNanos);
    }

    void add(long now, double amount) {
        value = value(now) + amount;
        updatedAt = now;
    }
}
