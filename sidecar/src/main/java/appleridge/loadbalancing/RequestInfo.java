package appleridge.loadbalancing;

/**
 * A client's request as the policy sees it.
 *
 * @param id unique; ids are never reused
 * @param requestClass index into {@link PolicySettings#classes()}
 * @param tenant index into {@link PolicySettings#tenants()}; ignored if there are none
 * @param key number of the object that the request concerns; 0 for none
 * @param remainingNanos time until the client gives up this attempt of its own
 * @param costHintNanos rough estimate of the work of the request; 0 if it is unknown
 * @param clientRetry whether the client has marked the request as a retry
 * @param write whether the request changes data
 */
public record RequestInfo(
        long id,
        int requestClass,
        int tenant,
        long key,
        long remainingNanos,
        long costHintNanos,
        boolean clientRetry,
        boolean write) {}
