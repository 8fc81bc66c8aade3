package appleridge.testbed.invariants;

/**
 * Outcome counts of the well-behaved clients' requests.
 *
 * @param asked attempts of clients
 * @param served answered with 200
 * @param refused answered with 429 or 503
 * @param failed answered otherwise, or broken off
 * @param left given up by their clients
 * @param attempts copies of which a server read the last byte
 * @param resends those copies beyond the first of a client's attempt
 */
public record Counts(
        long asked,
        long served,
        long refused,
        long failed,
        long left,
        long attempts,
        long resends) {
    /** All counts zero. */
    public static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0, 0);

    /** Returns the sums of both. */
    public Counts plus(Counts other) {
        return new Counts(
                asked + other.asked,
                served + other.served,
                refused + other.refused,
                failed + other.failed,
                left + other.left,
                attempts + other.attempts,
                resends + other.resends);
    }

    @Override
    public String toString() {
        return asked
                + " asked, "
                + served
                + " served, "
                + refused
                + " refused, "
                + failed
                + " failed, "
                + left
                + " left, "
                + attempts
                + " attempts, "
                + resends
                + " resends";
    }
}
