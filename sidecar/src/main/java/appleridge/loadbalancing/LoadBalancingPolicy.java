package appleridge.loadbalancing;

import java.util.List;

/**
 * The decisions of one sidecar's load balancer. The code that embeds a policy, its <i>embedder</i>,
 * reports events through these methods and carries out the policy's {@link PolicyActions}. {@link
 * PolicySettings} are fixed for the life of an instance. {@link SymmetricRoundRobinPolicy}
 * implements this interface.
 *
 * <p><b>What the embedder guarantees.</b> An instance belongs to one sidecar and is called from one
 * thread. All times are nanoseconds on one monotonic clock with an arbitrary origin. {@link #start}
 * is called first and once, then {@link #onEndpointUpdate} with {@link UpdateKind#CACHED_SNAPSHOT}.
 * Request ids are never reused. Every {@link PolicyActions#sendAttempt} is followed by exactly one
 * {@link #onAttemptEnded}, also after the request has ended; attempts of a request are numbered 0,
 * 1, 2, ... in the order in which they were sent. Timers fire at or after their time and never
 * during the call that set them. No argument is null. A restarted sidecar creates a new instance
 * with a new seed.
 *
 * <p><b>What the policy guarantees.</b> It calls actions only while it handles an event; they take
 * effect at that event's time, in the order of the calls. Each request gets one final answer: the
 * first {@link Outcome#OK}, whose response the embedder passes on, or {@link PolicyActions#reject}
 * or {@link PolicyActions#fail}, no later than its deadline plus {@link
 * SafetyLimits#answerSlackNanos()}. The same settings, seed and events produce the same actions.
 * Events about unknown requests, attempts or hosts are ignored.
 *
 * <p>Constructors of settings throw an {@link IllegalArgumentException} for a value out of range,
 * which names the setting, the value and the allowed range.
 */
public interface LoadBalancingPolicy {

    /** The sidecar has started. */
    void start(long now);

    /**
     * Discovery has sent an update, or a call to discovery has failed.
     *
     * @param entries the changed hosts or all hosts, depending on {@code kind}; empty for {@link
     *     UpdateKind#FAILURE}
     */
    void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries);

    /**
     * A client's request has arrived.
     *
     * @throws IllegalArgumentException if the settings do not contain its request class
     */
    void onRequest(long now, RequestInfo request);

    /**
     * The response has started to go out to the client, because its class streams or because it is
     * too long to be buffered. From now on the attempt can't be replaced by another one and the
     * request's deadline no longer applies; the outcome follows at the end of the response. Also
     * called when a request too long to be buffered has started to go out to the host.
     *
     * @param elapsedNanos time since the attempt was sent; negative if it is the request that has
     *     started
     */
    void onResponseStarted(long now, long requestId, int attempt, long hostId, long elapsedNanos);

    /**
     * An attempt has ended.
     *
     * @param elapsedNanos time since the attempt was sent
     * @param requestEnded whether the request has ended too, by this outcome or before
     * @param loadReport the host's load report, with the values named by {@link
     *     PolicySettings#loadReportFields()}; empty if there is none
     */
    void onAttemptEnded(
            long now,
            long requestId,
            int attempt,
            long hostId,
            Outcome outcome,
            long elapsedNanos,
            boolean requestEnded,
            float[] loadReport);

    /** The client has disconnected or cancelled its request, which needs no answer any more. */
    void onClientDisconnected(long now, long requestId);

    /** A timer set by {@link PolicyActions#setTimer} is due. */
    void onTimer(long now, long token);

    /** The result of a {@link PolicyActions#sendHealthCheck}; ignored by default. */
    default void onHealthCheckResult(
            long now, long hostId, Outcome outcome, long elapsedNanos, float[] loadReport) {}

    /**
     * A message from another sidecar of this service; ignored by default.
     *
     * @param from the sender's rank
     * @param message untrusted; a malformed one has to be ignored
     */
    default void onGossip(long now, int from, byte[] message) {}
}
