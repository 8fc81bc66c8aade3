package appleridge.request;

/**
 * The source of the endpoint list, as the load-balancing policy uses it. Updates arrive through
 * {@link RequestCoordinator#onEndpointUpdate}. Event loop only.
 */
public interface EndpointSubscription {
    /** Subscribes to endpoint updates, or cancels the subscription. */
    void subscribe(boolean on);

    /** Requests one snapshot. */
    void fetchEndpoints();

    /** Handles all updates that have arrived unread, before it returns. */
    void readPendingUpdates();

    /**
     * Whether it is certain that every update sent before the last call of {@link
     * #readPendingUpdates} has been handled.
     */
    default boolean isCaughtUp() {
        return true;
    }
}
