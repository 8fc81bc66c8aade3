package appleridge.request;

/**
 * A client's request, read and validated.
 *
 * @param id the client's own id of it, in use by no other open request
 * @param arrivedAtNanos when its last byte may have come at the earliest
 * @param timeoutNanos how long the client waits from then on, in nanoseconds
 * @param key hash of what the request is about; 0 for nothing
 * @param costHintNanos rough cost in nanoseconds of work; 0 where unknown
 * @param clientRetry whether the client marked it as a retry
 * @param message what is to be forwarded
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
    /** The same with something else to be forwarded. */
    public ClientRequest withMessage(UpstreamRequest other) {
        return new ClientRequest(
                id,
                arrivedAtNanos,
                timeoutNanos,
                requestClass,
                tenant,
                key,
                costHintNanos,
                clientRetry,
                other);
    }
}
