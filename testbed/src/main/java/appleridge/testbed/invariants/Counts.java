package appleridge.testbed.invariants;

/**
 * What happened to the usual clients' requests.
 *
 * @param asked tries
 * @param served answered with 200
 * @param refused answered with 429 or 503
 * @param failed answered otherwise, or broken off
 * @param left given up by their clients
 * @param attempts copies that reached a server to the last byte
 * @param resends those of them beyond the first of a try
 */
public record Counts(
        long asked,
        long served,
        long refused,
        long failed,
        long left,
        long attempts,
        long resends) {
    /** Of nothing. */
    public static final Counts NONE = new Counts(0, 0, 0, 0, 0, 0, 0);

    /** Of both. */
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
