package appleridge.request;

/**
 * A client's request as read and found in order.
 *
 * @param id the client's own id of it
 * @param arrivedAtNanos when its last byte may have come at the earliest
 * @param timeoutNanos how long the client waits from then on, in nanoseconds
 * @param key what the request is about, as a number; 0 for nothing
 * @param costHintNanos rough work in nanoseconds; 0 where unknown
 * @param clientRetry whether the client marked it as a repeat
 * @param message what is to be sent on
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
    /** The same with something else to be sent on. */
    public ClientRequest with(UpstreamRequest other) {
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
