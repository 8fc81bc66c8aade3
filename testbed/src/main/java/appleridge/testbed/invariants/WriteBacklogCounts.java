package appleridge.testbed.invariants;

/**
 * The bytes that a sidecar has written and that its sockets have not taken, and their limits.
 *
 * @param unread bytes of responses, which clients do not read
 * @param unreadLimit the maximum of these
 * @param unsent bytes of requests, which servers do not read
 * @param unsentLimit the maximum of these
 */
public record WriteBacklogCounts(long unread, long unreadLimit, long unsent, long unsentLimit) {}
