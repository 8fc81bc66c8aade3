package appleridge.testbed.invariants;

/**
 * One attempt of a well-behaved client.
 *
 * @param id new for each attempt
 * @param origin the id of the operation that the attempts serve
 * @param number counts the attempts of one operation, from 0
 * @param sidecar the sidecar that the client sends to
 * @param requestClass index in the world's request classes
 * @param tenant index in the world's tenants
 * @param idempotencyKey null for classes without one
 * @param cookieKey unique for each attempt; it matches the decision module's events with the
 *     attempt
 * @param askedAt when the first byte is written
 * @param deadlineNanos value of its X-Deadline
 * @param patienceNanos how long the client waits before it gives up
 */
public record ClientAttempt(
        String id,
        String origin,
        int number,
        String sidecar,
        int requestClass,
        int tenant,
        String idempotencyKey,
        long cookieKey,
        long askedAt,
        long deadlineNanos,
        long patienceNanos) {}
