package appleridge.loadbalancing;

/**
 * A client's request.
 *
 * @param remainingNanos until the client gives this try up
 * @param costHintNanos rough work to expect in nanoseconds; 0 where unknown
 * @param clientRetry the client marked it as a repeat
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
