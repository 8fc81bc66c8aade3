package appleridge.loadbalancing;

import java.util.List;

/**
 * The decisions of one sidecar's load balancer: events come in by these methods, actions go out by
 * {@link PolicyActions}, and {@link PolicySettings} are fixed for the life of an instance. {@link
 * SymmetricRoundRobinPolicy} implements it.
 *
 * <p><b>What the host of the policy guarantees.</b> An instance belongs to one sidecar and is
 * called from one thread. All times are nanoseconds on one monotonic clock, whose zero has no
 * meaning. {@link #start} is called first and once, then {@link #onEndpointUpdate} with {@link
 * UpdateKind#CACHED_SNAPSHOT}. Request ids are never reused. Every {@link
 * PolicyActions#sendAttempt} is followed by exactly one {@link #onAttemptEnded}, also after the
 * request has ended; attempts of a request are numbered 0, 1, 2, ... in the order in which they
 * were sent. Timers fire at or after their time and never inside the call that set them. No
 * argument is null. A restart of the sidecar makes a new instance with a new seed.
 *
 * <p><b>What the policy guarantees.</b> It calls actions only during an event's call; they take
 * effect at that event's time, in order. Each request gets one final answer: the first {@link
 * Outcome#OK}, which the host passes on, or {@link PolicyActions#reject} or {@link
 * PolicyActions#fail}, no later than its deadline plus {@link SafetyLimits#answerSlackNanos()}. The
 * same settings, seed and events give the same actions. Events about requests, attempts or hosts
 * that it does not know are ignored.
 *
 * <p>Settings out of range are rejected when they are made, with an {@link
 * IllegalArgumentException} that names setting, value and allowed range.
 */
public interface LoadBalancingPolicy {

    /** The sidecar starts. */
    void start(long now);

    /**
     * Discovery has sent an update.
     *
     * @param entries the changed hosts, or all hosts, as {@code kind} says; empty for {@link
     *     UpdateKind#FAILURE}
     */
    void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries);

    /**
     * A client's request has arrived.
     *
     * @throws IllegalArgumentException if the settings do not have its class
     */
    void onRequest(long now, RequestInfo request);

    /**
     * The response has started to go out to the client, because its class streams or because it is
     * too long to be buffered. From now on the attempt can't be replaced by another one and the
     * request's deadline no longer holds; the outcome comes with the end of the response. Likewise
     * where a request too long to be buffered has started to go out to the host.
     *
     * @param elapsed nanoseconds since the attempt was sent; negative where it is the request that
     *     has started
     */
    void onResponseStarted(long now, long request, int attempt, long upstream, long elapsed);

    /**
     * An attempt has ended.
     *
     * @param elapsed nanoseconds since the attempt was sent
     * @param ended whether the request has ended too, by this outcome or before
     * @param load the host's load report, with the values named by {@link
     *     PolicySettings#loadReportFields()}; empty where there is none
     */
    void onAttemptEnded(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load);

    /** The client has disconnected or cancelled: no answer is owed any more. */
    void onClientDisconnected(long now, long request);

    /** A timer that {@link PolicyActions#setTimer} asked for is due. */
    void onTimer(long now, long token);

    /** The result of a {@link PolicyActions#sendHealthCheck}; ignored by default. */
    default void onHealthCheckResult(
            long now, long upstream, Outcome outcome, long elapsed, float[] load) {}

    /**
     * A message from another sidecar of this service; ignored by default.
     *
     * @param from the sender's rank
     * @param message not trusted: whatever is malformed has to be ignored
     */
    default void onGossip(long now, int from, byte[] message) {}
}
