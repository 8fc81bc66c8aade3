package appleridge.lease;

/**
 * The time in which a holder may run operations, in nanoseconds of its own clock.
 *
 * @param token the fencing token that goes with each operation
 * @param notBeforeNanos no operation starts before: those of the holder before have ended then
 * @param expiresAtNanos every operation has ended by then
 */
public record Grant(long token, long notBeforeNanos, long expiresAtNanos) {}
