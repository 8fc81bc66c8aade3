package appleridge.testbed.invariants;

/**
 * One try of a usual client.
 *
 * @param id new with each try
 * @param origin the wish that the tries serve
 * @param number counts the tries of one wish
 * @param sidecar whom it asks
 * @param requestClass place in the world's classes
 * @param tenant place in the world's tenants
 * @param idempotencyKey null for classes without one
 * @param cookieKey what the request is about, unique for each try, so that the module's word can be
 *     matched
 * @param askedAt when its first byte is written
 * @param deadlineNanos what its X-Deadline says
 * @param patienceNanos how long it waits before it gives up by itself
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
