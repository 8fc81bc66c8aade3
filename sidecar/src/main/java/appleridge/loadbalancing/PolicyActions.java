package appleridge.loadbalancing;

/**
 * What a policy orders of its host. Called only during the policy's events and from their thread;
 * each action takes effect at the time of the event. Times are nanoseconds on the events' clock.
 */
public interface PolicyActions {
    /** Stands for every peer in {@link #sendGossip}. */
    int ALL_PEERS = 0xffff;

    /**
     * Sends the request's next attempt.
     *
     * @param timeout nanoseconds; 0 for until the client gives up
     */
    void sendAttempt(long request, long upstream, long timeout);

    /**
     * Final answer: not executed, or safe to be sent again by the client.
     *
     * @param wait nanoseconds for Retry-After; 0 for none
     * @param reason the rule that says no
     */
    void reject(long request, long wait, AnswerReason reason);

    /**
     * Final answer: failed, without a promise whether it was executed.
     *
     * @param reason the rule that says no
     */
    void fail(long request, AnswerReason reason);

    /** Cancels an outstanding attempt; its outcome still comes. */
    void cancelAttempt(long request, int attempt);

    /** Asks for {@link LoadBalancingPolicy#onTimer} with this token at or after {@code at}. */
    void setTimer(long token, long at);

    /** Sends an active health check to a host. */
    void sendHealthCheck(long upstream);

    /** Closes the idle connections to a host. */
    void closeIdleConnections(long upstream);

    /**
     * Sends a message to a peer.
     *
     * @param peer its rank, or {@link #ALL_PEERS}
     * @param message at most 256 bytes
     */
    void sendGossip(int peer, byte[] message);

    /** Writes a line to the sidecar's log. */
    void log(String line);

    /** Subscribes to endpoint updates, or ends that; answered by one endpoint update. */
    void subscribe(boolean on);

    /** Asks for one snapshot of all endpoints; answered by one endpoint update. */
    void fetchEndpoints();
}
