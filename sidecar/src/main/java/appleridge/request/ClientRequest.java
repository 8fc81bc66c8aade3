package appleridge.request;

/**
 * A client's request as read and found in order.
 *
 * @param name the client's own id of it
 * @param arrived when its last byte may have come at the earliest
 * @param patience how long the client waits from then on, in nanoseconds
 * @param key what the request is about, as a number; 0 for nothing
 * @param costHint rough work in nanoseconds; 0 where unknown
 * @param retry whether the client marked it as a repeat
 * @param message what is to be sent on
 */
public record ClientRequest(
        String name,
        long arrived,
        long patience,
        int requestClass,
        int tenant,
        long key,
        long costHint,
        boolean retry,
        UpstreamRequest message) {
    /** The same with something else to be sent on. */
    public ClientRequest with(UpstreamRequest other) {
        return new ClientRequest(
                name, arrived, patience, requestClass, tenant, key, costHint, retry, other);
    }
}
