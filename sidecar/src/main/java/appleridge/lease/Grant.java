package appleridge.lease;

/**
 * The time in which a holder may run operations, in nanoseconds of its own clock.
 *
 * @param token the fencing token that goes with each operation
 * @param notBeforeNanos no operation starts before: those of the holder before have ended then
 * @param expiresAtNanos every operation has ended by then
 */
public record Grant(long token, long notBeforeNanos, long expiresAtNanos) {
    /** Whether an operation that starts now and lasts so long stays within the grant. */
    boolean covers(long nowNanos, long durationNanos) {
        return nowNanos >= notBeforeNanos
                && durationNanos >= 0
                && durationNanos <= expiresAtNanos - nowNanos;
    }
}
