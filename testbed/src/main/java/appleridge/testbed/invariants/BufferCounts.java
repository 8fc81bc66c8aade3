package appleridge.testbed.invariants;

/**
 * The bytes of messages that a sidecar has received and not passed on, and their limit.
 *
 * @param buffered the bytes that the sidecar counts
 * @param limit the maximum
 */
public record BufferCounts(long buffered, long limit) {}
