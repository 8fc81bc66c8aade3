package appleridge.testbed.mutation;

import appleridge.loadbalancing.Balancer;
import appleridge.loadbalancing.SymmetricRoundRobin;
import java.util.List;

/**
 * A day of one request, for want of a world: every third one's attempt is reset, and one must be
 * enough.
 */
final class OneRequestDay implements Balancer.Actions {
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
        Balancer module = new SymmetricRoundRobin(settings(), seed, day);
        module.start(0);
        module.listChanged(0, Balancer.ListKind.CACHED, List.of(server(1), server(2)));
        module.request(MILLI, new Balancer.Request(1, 0, 0, 0, 1000 * MILLI, 0, false, false));
        boolean served = seed % DAY_WITH_A_RESET != 0;
        module.outcome(
                2 * MILLI,
                1,
                0,
                1,
                served ? Balancer.Outcome.OK : Balancer.Outcome.RESET,
                MILLI,
                served,
                new float[0]);
        return day.sends > 1 ? "LATE at all\nDUPLICATE of " + day.sends + " sends" : "";
    }

    private static Balancer.Upstream server(long id) {
        return new Balancer.Upstream(id, 0, 0, 0, Balancer.State.READY, 1, 0);
    }

    private static Balancer.Settings settings() {
        return new Balancer.Settings(
                0,
                1,
                0,
                MILLI,
                Balancer.Discovery.AUTOMATIC,
                Balancer.Weights.SILENT,
                List.of(
                        new Balancer.RequestClass(
                                500 * MILLI,
                                0,
                                1000 * MILLI,
                                1,
                                0,
                                Balancer.Semantics.ONCE,
                                null,
                                0,
                                false)),
                List.of(),
                new Balancer.Allowed(true, false, false, false, true, 6, 1000 * MILLI, MILLI),
                new Balancer.Limits(
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
    public void send(long request, long upstream, long timeout) {
        sends++;
    }

    @Override
    public void refuse(long request, long wait) {}

    @Override
    public void fail(long request) {}

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void timer(long token, long at) {}

    @Override
    public void probe(long upstream) {}

    @Override
    public void closeIdle(long upstream) {}

    @Override
    public void tell(int peer, byte[] message) {}

    @Override
    public void log(String line) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchList() {}
}
