package appleridge.loadbalancing;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.stream.Stream;

/**
 * The registered sizes of the ready hosts relative to each other. An absent or implausible size
 * counts as 0; if no host has a valid size, all hosts are weighted equally.
 */
final class HostWeights {
    /**
     * No host is weighted less than this fraction of the largest, so that every host gets turns.
     */
    private static final double MIN_RELATIVE_WEIGHT = 0.1;

    private final WeightKind kind;
    private DoubleSummaryStatistics weights = new DoubleSummaryStatistics();

    HostWeights(WeightKind kind) {
        this.kind = kind;
    }

    /** Ignores live weights, which are load reports and do not affect turns. */
    void onReadyHostsChanged(List<TrackedHost> ready) {
        weights =
                (kind == WeightKind.LIVE ? Stream.<TrackedHost>of() : ready.stream())
                        .mapToDouble(HostWeights::weight)
                        .summaryStatistics();
    }

    /** From {@link #MIN_RELATIVE_WEIGHT} to 1. */
    double relativeToLargest(TrackedHost host) {
        return weights.getSum() > 0
                ? Math.max(MIN_RELATIVE_WEIGHT, weight(host) / weights.getMax())
                : 1;
    }

    /** From 0 to 1; a host larger than the average counts as an average one. */
    double relativeToAverage(TrackedHost host) {
        return weights.getSum() > 0 ? Math.min(1, weight(host) / weights.getAverage()) : 1;
    }

    private static double weight(TrackedHost host) {
        float weight = host.endpoint().weight();
        return weight > 0 && weight <= Float.MAX_VALUE ? weight : 0;
    }
}
