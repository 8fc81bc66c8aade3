package appleridge.loadbalancing;

import java.util.List;

/**
 * What an instance is set to. {@link SymmetricRoundRobinPolicy} makes no use of zone, load reports,
 * the unit of worth or the worth over share; hosts fill them in for modules that do.
 *
 * @param rank this sidecar's number among {@code replicas}, from 0; -1 where it isn't told
 * @param clockGranularityNanos shortest time between two events
 * @param loadReportFields names of the values in a load report
 * @param weightedByWork worth counts per unit of work, not per request
 * @param overQuotaWeight what a request beyond its tenant's quota is worth, as a part of its
 *     class's worth
 */
public record PolicySettings(
        int rank,
        int replicas,
        int zone,
        long clockGranularityNanos,
        DiscoveryMode discoveryMode,
        WeightKind weightKind,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Capabilities capabilities,
        SafetyLimits safetyLimits,
        List<String> loadReportFields,
        boolean weightedByWork,
        double overQuotaWeight) {
    public PolicySettings {
        Preconditions.require(replicas >= 1 && rank >= -1, "rank and replicas");
        Preconditions.require(clockGranularityNanos >= 0, "quantum");
        Preconditions.require(!classes.isEmpty(), "classes");
        Preconditions.require(overQuotaWeight >= 0 && overQuotaWeight <= 1, "over-share worth");
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        loadReportFields = List.copyOf(loadReportFields);
    }

    /** The shortest latency objective of all classes. */
    long shortestObjectiveNanos() {
        return classes.stream().mapToLong(RequestClass::latencyObjectiveNanos).min().orElse(1);
    }

    /** The longest latency objective of all classes. */
    long longestObjectiveNanos() {
        return classes.stream().mapToLong(RequestClass::latencyObjectiveNanos).max().orElse(1);
    }
}
