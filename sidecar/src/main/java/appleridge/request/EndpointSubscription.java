package appleridge.request;

/**
 * The source of the endpoint list, as the load-balancing policy uses it. Updates arrive through
 * {@link RequestCoordinator#onEndpointUpdate}. Event loop only.
 */
public interface EndpointSubscription {
    /** The value of {@link #staleSinceNanos} while the list is current. */
    long NOT_STALE = Long.MAX_VALUE;

    /** Subscribes to endpoint updates, or cancels the subscription. */
    void subscribe(boolean on);

    /** Requests one snapshot. */
    void fetchEndpoints();

    /**
     * Handles all updates that have arrived unread, before it returns.
     *
     * @param stalledSinceNanos the time since which nothing has been read
     */
    void readPendingUpdates(long stalledSinceNanos);

    /**
     * Whether it is certain that every update sent before the last call of {@link
     * #readPendingUpdates} has been handled.
     */
    default boolean isCaughtUp() {
        return true;
    }

    /**
     * The time since which an update may count as notified to this sidecar that it has not
     * received, on the {@link MonotonicClock}; {@link #NOT_STALE} if there is none. May be in the
     * future. Only an answer of discovery makes a stale list current, never the passing of time.
     */
    default long staleSinceNanos() {
        return NOT_STALE;
    }

    /** Whether the last poll of discovery failed, so that no answer can be expected soon. */
    default boolean isFailing() {
        return false;
    }
}
