package appleridge.loadbalancing;

import java.util.List;

/**
 * The settings of a policy, fixed for its life. {@link SymmetricRoundRobinPolicy} uses neither
 * {@code zone}, {@code loadReportFields}, {@code weightedByWork} nor {@code overQuotaWeight}; they
 * exist for other policies.
 *
 * @param rank this sidecar's number among {@code replicas}, from 0; -1 if it is unknown
 * @param replicas number of sidecars of this service that share the upstream hosts; 1 or more
 * @param zone the sidecar's own zone
 * @param clockGranularityNanos shortest time between two events; 0 or more
 * @param weightKind what {@link UpstreamHost#weight()} holds
 * @param classes the request classes, indexed by {@link RequestInfo#requestClass()}; at least one
 * @param tenants the tenants, indexed by {@link RequestInfo#tenant()}; empty if requests have no
 *     tenants
 * @param loadReportFields names of the values in a load report
 * @param weightedByWork whether priority weights apply per unit of work instead of per request
 * @param overQuotaWeight priority of a request beyond its tenant's quota, as a fraction of its
 *     class's priority; 0 to 1
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
    /**
     * Checks the values and copies the lists.
     *
     * @throws IllegalArgumentException if a value is out of range; the message names the component
     */
    public PolicySettings {
        Preconditions.require(replicas >= 1, "replicas", replicas, "1 or more");
        Preconditions.require(rank >= -1, "rank", rank, "-1 or more");
        Preconditions.requireNotNegative(clockGranularityNanos, "clockGranularityNanos");
        Preconditions.require(!classes.isEmpty(), "classes", classes, "at least one");
        Preconditions.require(
                overQuotaWeight >= 0 && overQuotaWeight <= 1,
                "overQuotaWeight",
                overQuotaWeight,
                "from 0 to 1");
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        loadReportFields = List.copyOf(loadReportFields);
    }

    /** The shortest latency objective of all classes, in nanoseconds. */
    long shortestObjectiveNanos() {
        return classes.stream().mapToLong(RequestClass::latencyObjectiveNanos).min().orElse(1);
    }

    /** The longest latency objective of all classes, in nanoseconds. */
    long longestObjectiveNanos() {
        return classes.stream().mapToLong(RequestClass::latencyObjectiveNanos).max().orElse(1);
    }
}
