package appleridge.loadbalancing;

import static appleridge.loadbalancing.SidecarHarness.MS;

import java.util.List;

/** Builds the settings of a small service with three sidecars; a test overrides what it needs. */
final class TestSettings {
    private final List<RequestClass> classes;
    private int rank;
    private int replicas = 3;
    private DiscoveryMode discovery = DiscoveryMode.PUSHED;
    private WeightKind weightKind = WeightKind.SILENT;
    private List<Tenant> tenants = List.of();
    private boolean gossip;
    private double overQuotaWeight = 1;

    private TestSettings(List<RequestClass> classes) {
        this.classes = classes;
    }

    static TestSettings of(RequestClass... classes) {
        return new TestSettings(List.of(classes));
    }

    TestSettings rank(int rank) {
        this.rank = rank;
        return this;
    }

    TestSettings replicas(int replicas) {
        this.replicas = replicas;
        return this;
    }

    TestSettings discovery(DiscoveryMode discovery) {
        this.discovery = discovery;
        return this;
    }

    TestSettings weightKind(WeightKind weightKind) {
        this.weightKind = weightKind;
        return this;
    }

    TestSettings tenants(Tenant... tenants) {
        this.tenants = List.of(tenants);
        return this;
    }

    TestSettings gossip() {
        this.gossip = true;
        return this;
    }

    TestSettings overQuotaWeight(double overQuotaWeight) {
        this.overQuotaWeight = overQuotaWeight;
        return this;
    }

    PolicySettings build() {
        return new PolicySettings(
                rank,
                replicas,
                0,
                5 * MS,
                discovery,
                weightKind,
                classes,
                tenants,
                new Capabilities(true, false, gossip, true, true, 3, 1_000 * MS, 250 * MS),
                new SafetyLimits(20 * MS, 10_000 * MS, 250 * MS, 0.3, 8_000 * MS, 3, 1_500 * MS),
                List.of(),
                false,
                overQuotaWeight);
    }
}
