package appleridge.request;

/**
 * A client's request, read and validated.
 *
 * @param id the id that the client gave the request, unique among open requests
 * @param arrivedAtNanos a lower bound of the time at which its last byte arrived, on the {@link
 *     MonotonicClock}
 * @param timeoutNanos how long the client waits for its answer, in nanoseconds from {@code
 *     arrivedAtNanos}
 * @param requestClass the index of the request class in the policy's settings
 * @param tenant the index of the tenant
 * @param key hash of the object that the request concerns; 0 if it names none
 * @param costHintNanos the client's estimate of the processing time in nanoseconds; 0 if unknown
 * @param clientRetry whether the client marked the request as a retry
 * @param message the message to forward
 */
public record ClientRequest(
        String id,
        long arrivedAtNanos,
        long timeoutNanos,
        int requestClass,
        int tenant,
        long key,
        long costHintNanos,
        boolean clientRetry,
        UpstreamRequest message) {
    /** Returns a copy with another message to forward. */
    public ClientRequest withMessage(UpstreamRequest replacement) {
        return new ClientRequest(
                id,
                arrivedAtNanos,
                timeoutNanos,
                requestClass,
                tenant,
                key,
                costHintNanos,
                clientRetry,
                replacement);
    }
}
