package appleridge.loadbalancing;

import java.util.List;

/**
 * The settings of a policy, fixed for its life. {@link SymmetricRoundRobinPolicy} uses neither
 * zone, load reports, {@code weightedByWork} nor {@code overQuotaWeight}; they are there for other
 * policies.
 *
 * @param rank this sidecar's number among {@code replicas}, from 0; -1 where it is unknown
 * @param replicas sidecars of this service that share the upstream hosts; 1 or more
 * @param zone the sidecar's own zone
 * @param clockGranularityNanos shortest time between two events; 0 or more
 * @param weightKind what {@link UpstreamHost#weight()} holds
 * @param classes the request classes, by the index that {@link RequestInfo#requestClass()} holds;
 *     at least one
 * @param tenants by the index that {@link RequestInfo#tenant()} holds; none where all requests are
 *     alike
 * @param loadReportFields names of the values in a load report
 * @param weightedByWork priority weights count per unit of work, not per request
 * @param overQuotaWeight priority of a request beyond its tenant's quota, as a part of its class's
 *     priority; 0 to 1
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
     * @throws IllegalArgumentException naming the component that is out of range
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

    /** The shortest latency objective of all classes. */
    long shortestObjectiveNanos() {
        return classes.stream().mapToLong(RequestClass::latencyObjectiveNanos).min().orElse(1);
    }

    /** The longest latency objective of all classes. */
    long longestObjectiveNanos() {
        return classes.stream().mapToLong(RequestClass::latencyObjectiveNanos).max().orElse(1);
    }
}
