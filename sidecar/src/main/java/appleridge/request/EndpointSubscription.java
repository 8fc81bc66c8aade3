package appleridge.request;

/**
 * What the decision module asks of the source of the list; answered by {@link
 * RequestCoordinator#onEndpointUpdate}.
 */
public interface EndpointSubscription {
    /** Follows the list, or ends that. */
    void subscribe(boolean on);

    /** Asks for the whole list once. */
    void fetchEndpoints();

    /** Takes in, before this returns, what has been told and not yet been read. */
    void readPendingUpdates();

    /**
     * Whether it is certain, after {@link #readPendingUpdates}, that nothing told before that is
     * still to come.
     */
    default boolean isCaughtUp() {
        return true;
    }
}
