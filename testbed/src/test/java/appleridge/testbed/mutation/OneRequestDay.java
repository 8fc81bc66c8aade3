package appleridge.testbed.mutation;

import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.Capabilities;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.Idempotency;
import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.PolicyActions;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.loadbalancing.RequestInfo;
import appleridge.loadbalancing.SafetyLimits;
import appleridge.loadbalancing.SymmetricRoundRobinPolicy;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import appleridge.loadbalancing.WeightKind;
import java.util.List;

/**
 * A day of one request, for want of a world: every third one's attempt is reset, and one must be
 * enough.
 */
final class OneRequestDay implements PolicyActions {
    private static final long MILLI = 1_000_000;
    private static final long DAY_WITH_A_RESET = 3;

    private int sends;

    private OneRequestDay() {}

    static String ofSeed(long seed) {
        return ofPlan(planOf(seed));
    }

    /** Lines that say nothing, but the one with the seed. */
    static String planOf(long seed) {
        return "# a day\nseed " + seed + "\nrain\n";
    }

    static String ofPlan(String text) {
        long seed =
                Long.parseLong(
                        text.lines()
                                .filter(line -> line.startsWith("seed "))
                                .findFirst()
                                .orElseThrow()
                                .substring("seed ".length()));
        OneRequestDay day = new OneRequestDay();
        LoadBalancingPolicy module = new SymmetricRoundRobinPolicy(settings(), seed, day);
        module.start(0);
        module.onEndpointUpdate(0, UpdateKind.CACHED_SNAPSHOT, List.of(server(1), server(2)));
        module.onRequest(MILLI, new RequestInfo(1, 0, 0, 0, 1000 * MILLI, 0, false, false));
        boolean served = seed % DAY_WITH_A_RESET != 0;
        module.onAttemptEnded(
                2 * MILLI,
                1,
                0,
                1,
                served ? Outcome.OK : Outcome.RESET,
                MILLI,
                served,
                new float[0]);
        return day.sends > 1 ? "LATE at all\nDUPLICATE of " + day.sends + " sends" : "";
    }

    private static UpstreamHost server(long id) {
        return new UpstreamHost(id, 0, 0, 0, HostState.READY, 1, 0);
    }

    private static PolicySettings settings() {
        return new PolicySettings(
                0,
                1,
                0,
                MILLI,
                DiscoveryMode.PUSHED,
                WeightKind.SILENT,
                List.of(
                        new RequestClass(
                                500 * MILLI,
                                0,
                                1000 * MILLI,
                                1,
                                0,
                                Idempotency.NON_IDEMPOTENT,
                                null,
                                0,
                                false)),
                List.of(),
                new Capabilities(true, false, false, false, true, 6, 1000 * MILLI, MILLI),
                new SafetyLimits(
                        20 * MILLI,
                        10_000 * MILLI,
                        2000 * MILLI,
                        0.4,
                        7000 * MILLI,
                        4,
                        1500 * MILLI),
                List.of(),
                false,
                1);
    }

    @Override
    public void sendAttempt(long request, long upstream, long timeout) {
        sends++;
    }

    @Override
    public void reject(long request, long wait, AnswerReason reason) {}

    @Override
    public void fail(long request, AnswerReason reason) {}

    @Override
    public void cancelAttempt(long request, int attempt) {}

    @Override
    public void setTimer(long token, long at) {}

    @Override
    public void sendHealthCheck(long upstream) {}

    @Override
    public void closeIdleConnections(long upstream) {}

    @Override
    public void sendGossip(int peer, byte[] message) {}

    @Override
    public void log(String line) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchEndpoints() {}
}
