package appleridge.loadbalancing;

/**
 * What this sidecar is asked for and what is served, over about a slow-start window, and from that
 * the load and the throughput that a warm host reaches for this sidecar. Work is counted in
 * nanoseconds of expected response time.
 */
final class ReferenceThroughput {
    /** Right after the start at least this part of the window counts as observed. */
    private static final double MIN_OBSERVED_WINDOW_FRACTION = 0.1;

    private final HostRegistry registry;
    private final HostSubset subset;
    private final HostWeights weights;
    private final long slowStartWindowNanos;
    private final DecayingSum served;
    private final DecayingSum asked;
    private long startedAt;

    ReferenceThroughput(
            long slowStartWindowNanos,
            HostRegistry registry,
            HostSubset subset,
            HostWeights weights) {
        this.registry = registry;
        this.subset = subset;
        this.weights = weights;
        this.slowStartWindowNanos = slowStartWindowNanos;
        this.served = new DecayingSum(Math.max(1, slowStartWindowNanos));
        this.asked = new DecayingSum(Math.max(1, slowStartWindowNanos));
    }

    void start(long now) {
        startedAt = now;
    }

    void onRequest(long now, TrackedRequest request) {
        asked.add(now, request.expectedNanos());
    }

    void onServed(long now, TrackedRequest request) {
        served.add(now, request.expectedNanos());
    }

    /** Work asked for lately. */
    double askedWork(long now) {
        return asked.value(now);
    }

    /** Window of {@link #askedWork}. */
    double windowNanos() {
        return asked.windowNanos();
    }

    /**
     * Average number of requests that are open at a time. The sum covers only the time since the
     * start, which the second factor makes up for.
     */
    double concurrentRequests(long now) {
        double observed =
                -Math.expm1(
                        -Math.max(
                                MIN_OBSERVED_WINDOW_FRACTION,
                                (double) (now - startedAt) / asked.windowNanos()));
        return asked.value(now) / asked.windowNanos() / observed;
    }

    /**
     * Work per nanosecond that a warm host of this size serves for this sidecar. While nothing has
     * been served yet it goes by what is asked for, or a fleet that is warming up as a whole would
     * stay unused.
     *
     * @param fleetIsWarmingUp no host is warm yet: the whole fleet takes the load, since the subset
     *     alone can't carry it
     */
    double ofHost(long now, TrackedHost host, boolean fleetIsWarmingUp) {
        double servedWork = served.value(now);
        double work = servedWork > 0 ? servedWork : asked.value(now);
        double part =
                fleetIsWarmingUp
                        ? 1.0 / registry.ready().size()
                        : subset.capacityFraction() / subset.size();
        return work * part / slowStartWindowNanos * weights.relativeToAverage(host);
    }
}
