package appleridge.testbed.invariants;

/**
 * One attempt of a well-behaved client.
 *
 * @param id new for each attempt
 * @param operationId the id of the operation, shared by the attempts that retry it
 * @param number the attempt's number within its operation, from 0
 * @param sidecar the sidecar that the client sends to
 * @param requestClass index in the simulated day's request classes
 * @param tenant index in the simulated day's tenants
 * @param idempotencyKey null for request classes that have no idempotency key
 * @param cookieKey the key in the Cookie header, unique for each attempt; it relates the events of
 *     the load-balancing policy to the attempt
 * @param startedAt when the first byte is written, in nanoseconds
 * @param deadlineNanos the value of the X-Deadline header
 * @param clientTimeoutNanos the client's own timeout, after which it gives up
 */
public record ClientAttempt(
        String id,
        String operationId,
        int number,
        String sidecar,
        int requestClass,
        int tenant,
        String idempotencyKey,
        long cookieKey,
        long startedAt,
        long deadlineNanos,
        long clientTimeoutNanos) {}
