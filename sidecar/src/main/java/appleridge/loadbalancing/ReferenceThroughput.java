package appleridge.loadbalancing;

/**
 * Measures the work that clients request from this sidecar and the work that hosts serve, over
 * about a slow-start window. Derives the average load, and the throughput that a warm host reaches
 * for this sidecar. Work is measured in nanoseconds of expected response time.
 */
final class ReferenceThroughput {
    /** Right after the start, at least this fraction of the window counts as observed. */
    private static final double MIN_OBSERVED_WINDOW_FRACTION = 0.1;

    private final HostRegistry registry;
    private final HostSubset subset;
    private final HostWeights weights;
    private final long slowStartWindowNanos;
    private final DecayingSum servedWork;
    private final DecayingSum requestedWork;
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
        this.servedWork = new DecayingSum(Math.max(1, slowStartWindowNanos));
        this.requestedWork = new DecayingSum(Math.max(1, slowStartWindowNanos));
    }

    void start(long now) {
        startedAt = now;
    }

    void onRequest(long now, TrackedRequest request) {
        requestedWork.add(now, request.expectedNanos());
    }

    void onServed(long now, TrackedRequest request) {
        servedWork.add(now, request.expectedNanos());
    }

    /** Recently requested work. */
    double requestedWork(long now) {
        return requestedWork.value(now);
    }

    /** The window of {@link #requestedWork}, in nanoseconds. */
    double windowNanos() {
        return requestedWork.windowNanos();
    }

    /**
     * The average number of requests that are open at a time. The sum covers only the time since
     * the start, which the division by the observed fraction of the window compensates.
     */
    double concurrentRequests(long now) {
        double observedFraction =
                -Math.expm1(
                        -Math.max(
                                MIN_OBSERVED_WINDOW_FRACTION,
                                (double) (now - startedAt) / requestedWork.windowNanos()));
        return requestedWork.value(now) / requestedWork.windowNanos() / observedFraction;
    }

    /**
     * Work per nanosecond that a warm host of the given host's size serves for this sidecar. Until
     * something has been served, it is derived from the requested work; otherwise a fleet that is
     * warming up as a whole would stay unused.
     *
     * @param fleetIsWarmingUp whether no host is warm yet; the load is then spread over the whole
     *     fleet, since the subset alone can't carry it
     */
    double ofWarmHost(long now, TrackedHost host, boolean fleetIsWarmingUp) {
        double served = servedWork.value(now);
        double work = served > 0 ? served : requestedWork.value(now);
        double hostFraction =
                fleetIsWarmingUp
                        ? 1.0 / registry.ready().size()
                        : subset.capacityFraction() / subset.size();
        return work * hostFraction / slowStartWindowNanos * weights.relativeToAverage(host);
    }
}
