package appleridge.request;

/**
 * What the load-balancing policy asks of discovery; answered by {@link
 * RequestCoordinator#onEndpointUpdate}. Event loop only.
 */
public interface EndpointSubscription {
    /** Subscribes to endpoint updates, or ends that. */
    void subscribe(boolean on);

    /** Asks for one snapshot. */
    void fetchEndpoints();

    /** Handles, before this returns, the updates that have arrived and are unread. */
    void readPendingUpdates();

    /**
     * Whether it is certain, after {@link #readPendingUpdates}, that no update sent before that is
     * still to come.
     */
    default boolean isCaughtUp() {
        return true;
    }
}
