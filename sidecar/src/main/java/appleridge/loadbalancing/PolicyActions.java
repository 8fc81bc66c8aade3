package appleridge.loadbalancing;

/**
 * The actions that a policy asks its embedder to carry out. Called only while the policy handles an
 * event and on that event's thread; each action takes effect at the event's time. Times are
 * nanoseconds on the events' clock.
 */
public interface PolicyActions {
    /** Addresses every peer in {@link #sendGossip}. */
    int ALL_PEERS = 0xffff;

    /**
     * Sends the request's next attempt.
     *
     * @param timeoutNanos 0 for no timeout other than the request's deadline
     */
    void sendAttempt(long requestId, long hostId, long timeoutNanos);

    /**
     * Answers the request as rejected: it was not executed, or the client may safely send it again.
     *
     * @param retryAfterNanos time that the client is asked to wait; 0 for none
     * @param reason the rule that decided the answer
     */
    void reject(long requestId, long retryAfterNanos, AnswerReason reason);

    /**
     * Answers the request as failed: it may or may not have been executed.
     *
     * @param reason the rule that decided the answer
     */
    void fail(long requestId, AnswerReason reason);

    /** Cancels an outstanding attempt, whose outcome is still reported. */
    void cancelAttempt(long requestId, int attempt);

    /**
     * Requests a call of {@link LoadBalancingPolicy#onTimer} with this token at or after {@code
     * at}.
     */
    void setTimer(long token, long at);

    /** Sends an active health check to a host. */
    void sendHealthCheck(long hostId);

    /** Closes the idle connections to a host. */
    void closeIdleConnections(long hostId);

    /**
     * Sends a message to a peer.
     *
     * @param peer the peer's rank, or {@link #ALL_PEERS}
     * @param message at most 256 bytes
     */
    void sendGossip(int peer, byte[] message);

    /** Writes a line to the sidecar's log. */
    void log(String line);

    /** Subscribes to endpoint updates or ends the subscription; one endpoint update follows. */
    void subscribe(boolean on);

    /** Requests one snapshot of all endpoints; one endpoint update follows. */
    void fetchEndpoints();
}
