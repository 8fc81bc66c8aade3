package appleridge.loadbalancing;

import java.util.List;

/**
 * The decisions of one sidecar's load balancer: what it is told (the methods), what it orders
 * ({@link PolicyActions}) and what it is set to ({@link PolicySettings}). {@link
 * SymmetricRoundRobinPolicy} implements it.
 *
 * <p><b>What the host owes.</b> One instance belongs to one sidecar and one thread. Every event
 * carries the time in nanoseconds on one clock that never runs back; its zero has no meaning.
 * {@link #start} comes first, then {@link #onEndpointUpdate} with a {@link
 * ListValueKind#CACHED_SNAPSHOT} list. Request ids are never used twice. Every {@link
 * PolicyActions#sendAttempt} is answered by exactly one {@link #onAttemptEnded}, also after the
 * request has ended, and attempts are numbered 0, 1, 2, ... in the order of their sends. Timers
 * fire at or after their time, never inside the call that set them. A restart of the sidecar is a
 * new instance with a new seed.
 *
 * <p><b>What the instance owes.</b> Actions are given during an event's call and take effect at
 * that event's time, in order. Each request gets one final answer: the first {@link Outcome#OK}
 * (the host passes it on), {@link PolicyActions#reject} or {@link PolicyActions#fail}, no later
 * than its deadline plus {@link SafetyLimits#answerSlackNanos()}. The same settings, seed and
 * events give the same actions. Events about requests, attempts or upstreams that the instance no
 * longer holds are ignored.
 *
 * <p>Settings that make no sense are rejected with an {@link IllegalArgumentException} naming the
 * setting.
 */
public interface LoadBalancingPolicy {

    /** The instance begins. */
    void start(long now);

    /** News of the list; {@code entries} is empty for {@link ListValueKind#FAILURE}. */
    void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries);

    /** A client's request has arrived. */
    void onRequest(long now, RequestInfo request);

    /**
     * An answer has begun to go out, streamed by its class or too long to be held: its attempt
     * belongs to the client, its deadline no longer holds, and nothing else can be tried. The
     * outcome comes with its end. So it is where a request too long to be held has begun to go out;
     * then {@code elapsed} is negative.
     */
    void onResponseStarted(long now, long request, int attempt, long upstream, long elapsed);

    /** An attempt has ended; {@code ended} says that the request has, by this outcome or before. */
    void onAttemptEnded(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load);

    /** The client has left. */
    void onClientDisconnected(long now, long request);

    /** A timer is due. */
    void onTimer(long now, long token);

    /** A probe's result. */
    default void onHealthCheckResult(
            long now, long upstream, Outcome outcome, long elapsed, float[] load) {}

    /** A message from another sidecar of this tier. */
    default void onGossip(long now, int from, byte[] message) {}
}
