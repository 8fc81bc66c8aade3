package appleridge.lease;

/**
 * The time in which a holder may run operations, in nanoseconds of its own clock.
 *
 * @param token the fencing token to send with each operation
 * @param notBeforeNanos the earliest start of an operation; those of the previous holder have ended
 *     by then
 * @param expiresAtNanos the time by which every operation must have ended
 */
public record Grant(long token, long notBeforeNanos, long expiresAtNanos) {
    /** Whether an operation that starts now and lasts {@code durationNanos} stays within it. */
    boolean covers(long nowNanos, long durationNanos) {
        return nowNanos >= notBeforeNanos
                && durationNanos >= 0
                && durationNanos <= expiresAtNanos - nowNanos;
    }
}
