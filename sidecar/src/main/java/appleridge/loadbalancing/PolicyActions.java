package appleridge.loadbalancing;

/** What an instance orders. The host carries each out at the time of the event being handled. */
public interface PolicyActions {
    /** Starts the request's next attempt; a time-out of 0 lasts until the client gives up. */
    void sendAttempt(long request, long upstream, long timeout);

    /** Final answer: not done, a retry is harmless; {@code wait} 0 gives no guidance. */
    void reject(long request, long wait);

    /** Final answer: failed, with no promise about effects. */
    void fail(long request);

    /** Stops waiting for one attempt. */
    void cancelAttempt(long request, int attempt);

    /** Asks for {@link LoadBalancingPolicy#onTimer} with this token at or after a time. */
    void setTimer(long token, long at);

    /** Probes an upstream. */
    void sendHealthCheck(long upstream);

    /** Closes idle connections to an upstream. */
    void closeIdleConnections(long upstream);

    /** Sends at most 256 bytes to a peer, or to every one if {@code peer} is {@link #ALL_PEERS}. */
    void sendGossip(int peer, byte[] message);

    /** Writes a line for operators. */
    void log(String line);

    /** Subscribes to list changes, or ends it; answered by one list event. */
    void subscribe(boolean on);

    /** Asks for the whole list once; answered by one list event. */
    void fetchEndpoints();

    /** Every peer. */
    int ALL_PEERS = 0xffff;
}
