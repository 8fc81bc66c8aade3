package appleridge.loadbalancing;

import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.stream.Stream;

/**
 * Registered sizes of the ready hosts beside one another. An absent or absurd size counts as none;
 * where no host has one, all count alike.
 */
final class HostWeights {
    /** No size counts for less than this part of the largest, so that every host gets turns. */
    private static final double MIN_RELATIVE_WEIGHT = 0.1;

    private final WeightKind kind;
    private DoubleSummaryStatistics weights = new DoubleSummaryStatistics();

    HostWeights(WeightKind kind) {
        this.kind = kind;
    }

    /** Live weights are load reports, which have no say in turns. */
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

    /** From 0 to 1: a host larger than the average counts as an average one. */
    double relativeToAverage(TrackedHost host) {
        return weights.getSum() > 0 ? Math.min(1, weight(host) / weights.getAverage()) : 1;
    }

    private static double weight(TrackedHost host) {
        float weight = host.endpoint().weight();
        return weight > 0 && weight <= Float.MAX_VALUE ? weight : 0;
    }
}
