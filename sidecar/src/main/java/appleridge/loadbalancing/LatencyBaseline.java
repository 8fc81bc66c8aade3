package appleridge.loadbalancing;

/**
 * The observed response time of one request class over all hosts, and its growth with a request's
 * cost hint. All times in nanoseconds.
 */
final class LatencyBaseline {
    /**
     * Weight of a new sample once the average has settled: it covers about the last 50 responses.
     */
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    /**
     * With fewer responses the average depends on its initial guess and says nothing about an
     * unloaded fleet.
     */
    private static final int MIN_SAMPLES = 20;

    /**
     * A sample is limited to this multiple of the expected response time, so that one slow host
     * does not shift the baseline.
     */
    private static final double MAX_SAMPLE_MULTIPLE = 3;

    /**
     * Growth of the unloaded average per response: an old minimum is forgotten over a few thousand
     * responses.
     */
    private static final double UNLOADED_DRIFT_PER_SAMPLE = 1.0005;

    private double average;
    private double unloadedAverage = Double.MAX_VALUE;
    private long samples;
    private double averageCostHint;

    LatencyBaseline(double initialAverageNanos) {
        average = initialAverageNanos;
    }

    /** The moving average; the initial guess before the first response. */
    double averageNanos() {
        return average;
    }

    /** The lowest recent average, at most the present one. */
    double unloadedAverageNanos() {
        return Math.min(unloadedAverage, average);
    }

    /** Whether there are enough responses for the lowest average to describe an unloaded fleet. */
    boolean isEstablished() {
        return unloadedAverage <= average;
    }

    /** Records a successful response; {@code costHint} is 0 if it is unknown. */
    void observe(double elapsedNanos, double costHint) {
        double sample = Math.min(elapsedNanos, MAX_SAMPLE_MULTIPLE * expectedNanos(costHint));
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++samples);
        average += weight * (sample - average);
        // If the initial guess counted as unloaded time, every early response would look slow.
        unloadedAverage =
                samples < MIN_SAMPLES
                        ? unloadedAverage
                        : Math.min(unloadedAverage * UNLOADED_DRIFT_PER_SAMPLE, average);
        averageCostHint += weight * (costHint - averageCostHint);
    }

    /**
     * The expected response time: half of the average grows with the cost, the other half is
     * waiting time.
     */
    double expectedNanos(double costHint) {
        return costHint <= 0 || averageCostHint <= 0
                ? average
                : average * (1 + costHint / averageCostHint) / 2;
    }
}
