package appleridge.loadbalancing;

/**
 * Observed response time of one request class over all hosts, and how it grows with a request's
 * cost hint. All times in nanoseconds.
 */
final class LatencyBaseline {
    /** Weight of a new sample once the average has settled: about the last 50 answers count. */
    private static final double MIN_SAMPLE_WEIGHT = 0.02;

    /** With fewer answers the average is a guess and says nothing about an unloaded fleet. */
    private static final int MIN_SAMPLES = 20;

    /**
     * A sample counts for at most this many times what was expected, so that one slow host does not
     * shift the baseline.
     */
    private static final double MAX_SAMPLE_MULTIPLE = 3;

    /** Growth of the unloaded average per answer: it is forgotten over some thousand answers. */
    private static final double UNLOADED_DRIFT_PER_SAMPLE = 1.0005;

    private double average;
    private double unloadedAverage = Double.MAX_VALUE;
    private long samples;
    private double averageCostHint;

    LatencyBaseline(double initialAverageNanos) {
        average = initialAverageNanos;
    }

    /** The moving average; the initial guess before the first answer. */
    double averageNanos() {
        return average;
    }

    /** The lowest average seen lately, but never more than the present one. */
    double unloadedAverageNanos() {
        return Math.min(unloadedAverage, average);
    }

    /** Whether there are answers enough for the lowest average to describe an unloaded fleet. */
    boolean isEstablished() {
        return unloadedAverage <= average;
    }

    /** Learns from one successful answer; {@code costHint} 0 where it is unknown. */
    void observe(double elapsedNanos, double costHint) {
        double sample = Math.min(elapsedNanos, MAX_SAMPLE_MULTIPLE * expectedNanos(costHint));
        double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++samples);
        average += weight * (sample - average);
        // The initial guess taken for an unloaded fleet would make every early answer look slow.
        unloadedAverage =
                samples < MIN_SAMPLES
                        ? unloadedAverage
                        : Math.min(unloadedAverage * UNLOADED_DRIFT_PER_SAMPLE, average);
        averageCostHint += weight * (costHint - averageCostHint);
    }

    /** Expected response time: half of it grows with the cost, the other half is waiting. */
    double expectedNanos(double costHint) {
        return costHint <= 0 || averageCostHint <= 0
                ? average
                : average * (1 + costHint / averageCostHint) / 2;
    }
}
