package appleridge.loadbalancing;

/**
 * From which response time on an attempt is evidence against its host, or against the fleet as a
 * whole. Times in nanoseconds.
 */
final class LatencyThresholds {
    /** Part of the latency objective: a longer wait leaves no time for a retry. */
    static final double LATE_OBJECTIVE_FRACTION = 0.4;

    /** Multiple of the unloaded response time that work of ordinary spread rarely exceeds. */
    private static final double TAIL_MULTIPLE = 4;

    /** Part of the latency objective beyond which no tail is waited for. */
    private static final double MAX_TAIL_OBJECTIVE_FRACTION = 1.5 * LATE_OBJECTIVE_FRACTION;

    /**
     * Multiple of the unloaded response time that about one answer in five exceeds without any
     * overload; {@link LoadShedder} outweighs these by the answers in time.
     */
    private static final double SENSITIVE_MULTIPLE = 1.5;

    private final PolicySettings settings;
    private final HostSubset subset;

    /** By class, each starting from a tenth of its objective. */
    private final LatencyBaseline[] baselines;

    LatencyThresholds(PolicySettings settings, HostSubset subset) {
        this.settings = settings;
        this.subset = subset;
        this.baselines =
                settings.classes().stream()
                        .map(kind -> new LatencyBaseline(kind.latencyObjectiveNanos() / 10.0))
                        .toArray(LatencyBaseline[]::new);
    }

    /** Learns from a successful answer. */
    void observe(TrackedRequest request, long elapsedNanos) {
        baseline(request).observe(elapsedNanos, request.info().costHintNanos());
    }

    /** Expected response time of a request that has just arrived. */
    double expectedNanos(RequestInfo info) {
        return baselines[info.requestClass()].expectedNanos(info.costHintNanos());
    }

    /** Average response time of the request's class. */
    double averageNanos(TrackedRequest request) {
        return baseline(request).averageNanos();
    }

    /**
     * How long after its send an unanswered attempt is evidence against its host: the largest of
     * {@link #LATE_OBJECTIVE_FRACTION} of the objective, half of {@link #TAIL_MULTIPLE} times the
     * unloaded response time, the smaller of {@link #TAIL_MULTIPLE} times that time and {@link
     * #MAX_TAIL_OBJECTIVE_FRACTION} of the objective, and one clock granule. Without the unloaded
     * time, hosts whose ordinary answers take most of the objective would always count as late.
     */
    long hostEvidenceNanos(TrackedRequest request) {
        return Math.max(
                lateAfterNanos(request, TAIL_MULTIPLE / 2),
                (long)
                        Math.min(
                                TAIL_MULTIPLE * unloadedNanos(request),
                                MAX_TAIL_OBJECTIVE_FRACTION * request.objectiveNanos()));
    }

    /**
     * When an attempt is evidence of an overloaded fleet. Where few sidecars share a host, their
     * own in-flight counts and limits show its load; where many do, each sees little of it and goes
     * by a smaller delay.
     */
    long overloadEvidenceNanos(TrackedRequest request) {
        return subset.isSparse()
                ? lateAfterNanos(request, SENSITIVE_MULTIPLE)
                : hostEvidenceNanos(request);
    }

    private long lateAfterNanos(TrackedRequest request, double unloadedMultiple) {
        double late =
                Math.max(
                        LATE_OBJECTIVE_FRACTION * request.objectiveNanos(),
                        baseline(request).isEstablished()
                                ? unloadedMultiple * unloadedNanos(request)
                                : 0);
        return Math.max(Math.max(1, settings.clockGranularityNanos()), (long) late);
    }

    private double unloadedNanos(TrackedRequest request) {
        LatencyBaseline baseline = baseline(request);
        return request.expectedNanos() * baseline.unloadedAverageNanos() / baseline.averageNanos();
    }

    private LatencyBaseline baseline(TrackedRequest request) {
        return baselines[request.info().requestClass()];
    }
}
