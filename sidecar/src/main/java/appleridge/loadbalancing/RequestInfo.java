package appleridge.loadbalancing;

/**
 * A client's request.
 *
 * @param id never used twice
 * @param requestClass index into {@link PolicySettings#classes()}
 * @param tenant index into {@link PolicySettings#tenants()}; ignored where there are none
 * @param key what the request is about, as a number; 0 for nothing
 * @param remainingNanos until the client gives this attempt of its own up
 * @param costHintNanos rough work to expect, in nanoseconds; 0 where it is unknown
 * @param clientRetry the client has marked it as a retry
 * @param write it changes data
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
