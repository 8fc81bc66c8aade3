package appleridge.loadbalancing;

import java.util.List;
import java.util.Random;

/**
 * Composes the rules that keep account of hosts, from the endpoint table to the concurrency limit.
 * They do not depend on queues, admission or retries.
 */
final class HostRules {
    final HostRegistry registry = new HostRegistry(this::track);
    final HostSubset subset;
    final HostWeights weights;
    final ReferenceThroughput throughput;
    final SlowStartBudget slowStart;
    final LatencyThresholds thresholds;
    final GossipNotes gossip;
    final OutlierDetector outliers;
    final ConnectFailureEjection ejection;
    final ZoneHealth zones;
    final HostConcurrencyLimit concurrency;

    HostRules(PolicySettings settings, long seed, Random random, PolicyActions actions) {
        long slowStartWindowNanos = settings.safetyLimits().slowStartWindowNanos();
        subset = new HostSubset(settings, seed, registry, actions);
        weights = new HostWeights(settings.weightKind());
        throughput = new ReferenceThroughput(slowStartWindowNanos, registry, subset, weights);
        slowStart = new SlowStartBudget(settings, random, subset, throughput);
        thresholds = new LatencyThresholds(settings, subset);
        gossip = new GossipNotes(settings, actions);
        outliers = new OutlierDetector(settings, registry, subset, gossip);
        ejection = new ConnectFailureEjection(settings, actions);
        zones = new ZoneHealth(registry, ejection, actions);
        concurrency = new HostConcurrencyLimit(thresholds);
    }

    private TrackedHost track(long now, UpstreamHost endpoint) {
        return new TrackedHost(
                endpoint, outliers.newEvidence(), slowStart.newCredit(now, endpoint));
    }

    void onReadyHostsChanged(List<TrackedHost> ready) {
        slowStart.onReadyHostsChanged(ready);
        weights.onReadyHostsChanged(ready);
    }
}
