package appleridge.loadbalancing;

/**
 * The response times from which on an attempt is evidence against its host, or of an overload of
 * the whole fleet. Times in nanoseconds.
 */
final class LatencyThresholds {
    /** Fraction of the latency objective; a longer wait leaves no time for a retry. */
    static final double LATE_OBJECTIVE_FRACTION = 0.4;

    /** Multiple of the unloaded response time that requests of ordinary variance rarely exceed. */
    private static final double TAIL_MULTIPLE = 4;

    /** Fraction of the latency objective that bounds the allowance for slow responses. */
    private static final double MAX_TAIL_OBJECTIVE_FRACTION = 1.5 * LATE_OBJECTIVE_FRACTION;

    /**
     * Multiple of the unloaded response time that about one response in five exceeds without any
     * overload; {@link LoadShedder} compensates for these with the timely responses.
     */
    private static final double SENSITIVE_MULTIPLE = 1.5;

    /** The initial guess of a class's response time is its objective divided by this. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 10.0;

    private final PolicySettings settings;
    private final HostSubset subset;

    /** Indexed by request class. */
    private final LatencyBaseline[] baselines;

    LatencyThresholds(PolicySettings settings, HostSubset subset) {
        this.settings = settings;
        this.subset = subset;
        this.baselines =
                settings.classes().stream()
                        .map(
                                requestClass ->
                                        new LatencyBaseline(
                                                requestClass.latencyObjectiveNanos()
                                                        / INITIAL_OBJECTIVE_DIVISOR))
                        .toArray(LatencyBaseline[]::new);
    }

    /** Records the response time of a successful response. */
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
     * The time after its send from which on an unanswered attempt is evidence against its host. It
     * is the largest of: {@link #LATE_OBJECTIVE_FRACTION} of the objective; half of {@link
     * #TAIL_MULTIPLE} times the unloaded response time; the smaller of {@link #TAIL_MULTIPLE} times
     * that time and {@link #MAX_TAIL_OBJECTIVE_FRACTION} of the objective; one clock granule.
     * Without the unloaded response time, hosts whose ordinary responses take most of the objective
     * would always count as late.
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
     * The time after its send from which on an attempt is evidence of an overloaded fleet. If few
     * sidecars share a host, their own in-flight counts and limits show its load. If many do, each
     * sees little of that load and uses a shorter delay.
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
