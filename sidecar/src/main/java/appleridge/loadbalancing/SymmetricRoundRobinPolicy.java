package appleridge.loadbalancing;

import java.util.List;
import java.util.Random;

/**
 * The load-balancing policy of a sidecar. This class only composes the rules and forwards events to
 * them; each rule is a class of its own with private state.
 *
 * <ul>
 *   <li>Which host: {@link HostRing} over {@link HostSubset}, with turns by {@link TurnWeighting}
 *       and the rules of {@link HostGates}; a host's refusal is a {@link HostEligibility}.
 *   <li>Whether now: {@link AdmissionController}, {@link LoadShedder}, {@link TenantQueues}; the
 *       result is an {@link Admission} with its reason.
 *   <li>Whether again: {@link RetryPolicy} and {@link RetryBudget}; the result is a {@link
 *       RetryDecision}.
 *   <li>What is known of hosts: {@link HostRegistry} from discovery, {@link HostHealth} from
 *       attempts.
 * </ul>
 *
 * <p>{@code docs/design.md} says against what each rule acts.
 */
public final class SymmetricRoundRobinPolicy implements LoadBalancingPolicy {
    private final PolicySettings settings;
    private final TimerQueue timers;
    private final HostRegistry registry = new HostRegistry(this::track);
    private final DiscoveryPoller discovery;
    private final HostWeights weights;
    private final ReferenceThroughput throughput;
    private final SlowStartBudget slowStart;
    private final GossipNotes gossip;
    private final OutlierDetector outliers;
    private final TurnWeighting turns;
    private final HostRing ring;
    private final TenantQueues queues;
    private final RetryBudget retryBudget = new RetryBudget();
    private final InFlightRequests requests;
    private final AdmissionController admission;
    private final AttemptResults results;

    /**
     * Composes the policy of one sidecar.
     *
     * @param seed the only source of randomness
     * @param actions called only during the calls of events
     */
    public SymmetricRoundRobinPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        this.settings = settings;
        Random random = new Random(seed);
        timers = new TimerQueue(actions);
        discovery = new DiscoveryPoller(settings, random, timers, actions);

        HostSubset subset = new HostSubset(settings, seed, registry, actions);
        weights = new HostWeights(settings.weightKind());
        throughput =
                new ReferenceThroughput(
                        settings.safetyLimits().slowStartWindowNanos(), registry, subset, weights);
        slowStart = new SlowStartBudget(settings, random, subset, throughput);
        LatencyThresholds thresholds = new LatencyThresholds(settings, subset);

        gossip = new GossipNotes(settings, actions);
        double evidenceWindowNanos = OutlierDetector.windowNanos(settings);
        outliers = new OutlierDetector(evidenceWindowNanos, registry, subset, gossip);
        ConnectFailureEjection ejection = new ConnectFailureEjection(settings, actions);
        ZoneHealth zones = new ZoneHealth(registry, ejection, actions);

        queues = new TenantQueues(settings, throughput.windowNanos());
        LoadShedder shedder =
                new LoadShedder(
                        random,
                        evidenceWindowNanos,
                        queues,
                        throughput,
                        thresholds,
                        outliers,
                        actions);
        UnansweredAttemptMonitor monitor =
                new UnansweredAttemptMonitor(timers, thresholds, outliers, shedder);
        HostHealth health = new HostHealth(ejection, zones, outliers, thresholds, monitor);
        HostConcurrencyLimit concurrency = new HostConcurrencyLimit(thresholds);

        RetryPolicy retryPolicy = new RetryPolicy(settings, registry, retryBudget);
        HostGates gates = new HostGates(retryPolicy, concurrency, health, slowStart);
        turns = new TurnWeighting(random, weights, outliers);
        ring = new HostRing(random, registry, subset, gates, turns);
        HostSelector selector = new HostSelector(ring, registry, health, retryPolicy);

        AttemptDispatcher dispatcher =
                new AttemptDispatcher(queues, slowStart, zones, monitor, actions);
        requests = new InFlightRequests(settings, timers, queues, thresholds, retryPolicy, actions);
        admission =
                new AdmissionController(
                        settings,
                        timers,
                        registry,
                        queues,
                        shedder,
                        selector,
                        dispatcher,
                        requests);
        results =
                new AttemptResults(
                        health,
                        shedder,
                        concurrency,
                        throughput,
                        subset,
                        retryPolicy,
                        admission,
                        requests);
    }

    private TrackedHost track(long now, UpstreamHost endpoint) {
        return new TrackedHost(
                endpoint, outliers.newEvidence(), slowStart.newCredit(now, endpoint));
    }

    @Override
    public void start(long now) {
        throughput.start(now);
        discovery.subscribe(now);
        timers.armHostTimer();
    }

    @Override
    public void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries) {
        if (kind == UpdateKind.FAILURE) {
            discovery.onFailure(now);
        } else {
            if (kind != UpdateKind.CACHED_SNAPSHOT) {
                discovery.onUpdate();
            }
            if (registry.apply(now, kind, entries)) {
                onReadyHostsChanged(registry.ready());
            }
        }
        drainAndArm(now);
    }

    private void onReadyHostsChanged(List<TrackedHost> ready) {
        slowStart.onReadyHostsChanged(ready);
        weights.onReadyHostsChanged(ready);
        turns.onReadyHostsChanged(ready);
        ring.redraw();
    }

    @Override
    public void onRequest(long now, RequestInfo info) {
        if (info.requestClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("request of unknown class " + info.requestClass());
        }
        TrackedRequest request = requests.open(now, info);
        throughput.onRequest(now, request);
        ring.resize(throughput.concurrentRequests(now));
        queues.of(request).onRequest(now, request);
        retryBudget.onFirstAttempt();
        gossip.onRequest();
        admission.admit(now, request);
        timers.armHostTimer();
    }

    @Override
    public void onResponseStarted(
            long now, long requestId, int attempt, long upstream, long elapsed) {
        TrackedRequest request = requests.find(requestId).orElse(null);
        if (request == null || attempt >= request.attemptCount()) {
            return;
        }
        request.startStreaming();
        if (!request.requestClass().streaming()) {
            results.onResponseStarted(now, request, request.attempt(attempt), elapsed >= 0);
            drainAndArm(now);
        }
    }

    @Override
    public void onAttemptEnded(
            long now,
            long requestId,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load) {
        TrackedRequest request = requests.find(requestId).orElse(null);
        if (request != null
                && attempt < request.attemptCount()
                && request.attempt(attempt).isOutstanding()) {
            results.onAttemptEnded(now, request, request.attempt(attempt), outcome, ended);
        }
        drainAndArm(now);
    }

    @Override
    public void onClientDisconnected(long now, long requestId) {
        requests.find(requestId).ifPresent(requests::close);
    }

    @Override
    public void onGossip(long now, int from, byte[] message) {
        outliers.onGossip(now, message);
    }

    @Override
    public void onTimer(long now, long token) {
        timers.onTimer(now, token);
        drainAndArm(now);
    }

    private void drainAndArm(long now) {
        admission.drain(now);
        timers.armHostTimer();
    }

    /** Number of host records: must not grow as hosts come and go. */
    int knownHosts() {
        return registry.hosts().size();
    }

    /** Number of requests that wait for capacity. */
    int queuedRequests() {
        return queues.countRequests();
    }
}
