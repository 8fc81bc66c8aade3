package appleridge.config;

import appleridge.loadbalancing.Capabilities;
import appleridge.loadbalancing.DiscoveryMode;
import appleridge.loadbalancing.PolicySettings;
import appleridge.loadbalancing.RequestClass;
import appleridge.loadbalancing.SafetyLimits;
import appleridge.loadbalancing.Tenant;
import appleridge.loadbalancing.WeightKind;
import java.util.List;

/** Builds {@link PolicySettings}. Every component has to be set; none has a default. */
final class PolicySettingsBuilder {
    private int rank;
    private int replicas;
    private int zone;
    private long clockGranularityNanos;
    private DiscoveryMode discoveryMode;
    private WeightKind weightKind;
    private List<RequestClass> classes;
    private List<Tenant> tenants;
    private Capabilities capabilities;
    private SafetyLimits safetyLimits;
    private List<String> loadReportFields;
    private boolean weightedByWork;
    private double overQuotaWeight;

    PolicySettingsBuilder() {}

    /** Starts from the components of other settings. */
    PolicySettingsBuilder(PolicySettings other) {
        rank = other.rank();
        replicas = other.replicas();
        zone = other.zone();
        clockGranularityNanos = other.clockGranularityNanos();
        discoveryMode = other.discoveryMode();
        weightKind = other.weightKind();
        classes = other.classes();
        tenants = other.tenants();
        capabilities = other.capabilities();
        safetyLimits = other.safetyLimits();
        loadReportFields = other.loadReportFields();
        weightedByWork = other.weightedByWork();
        overQuotaWeight = other.overQuotaWeight();
    }

    PolicySettingsBuilder rank(int value) {
        rank = value;
        return this;
    }

    PolicySettingsBuilder replicas(int value) {
        replicas = value;
        return this;
    }

    PolicySettingsBuilder zone(int value) {
        zone = value;
        return this;
    }

    PolicySettingsBuilder clockGranularityNanos(long value) {
        clockGranularityNanos = value;
        return this;
    }

    PolicySettingsBuilder discoveryMode(DiscoveryMode value) {
        discoveryMode = value;
        return this;
    }

    PolicySettingsBuilder weightKind(WeightKind value) {
        weightKind = value;
        return this;
    }

    PolicySettingsBuilder classes(List<RequestClass> value) {
        classes = value;
        return this;
    }

    PolicySettingsBuilder tenants(List<Tenant> value) {
        tenants = value;
        return this;
    }

    PolicySettingsBuilder capabilities(Capabilities value) {
        capabilities = value;
        return this;
    }

    PolicySettingsBuilder safetyLimits(SafetyLimits value) {
        safetyLimits = value;
        return this;
    }

    PolicySettingsBuilder loadReportFields(List<String> value) {
        loadReportFields = value;
        return this;
    }

    PolicySettingsBuilder weightedByWork(boolean value) {
        weightedByWork = value;
        return this;
    }

    PolicySettingsBuilder overQuotaWeight(double value) {
        overQuotaWeight = value;
        return this;
    }

    /**
     * Builds the settings.
     *
     * @throws IllegalArgumentException if a value is not allowed
     */
    PolicySettings build() {
        return new PolicySettings(
                rank,
                replicas,
                zone,
                clockGranularityNanos,
                discoveryMode,
                weightKind,
                classes,
                tenants,
                capabilities,
                safetyLimits,
                loadReportFields,
                weightedByWork,
                overQuotaWeight);
    }
}
