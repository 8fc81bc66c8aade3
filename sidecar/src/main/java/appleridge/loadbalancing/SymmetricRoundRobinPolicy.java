package appleridge.loadbalancing;

import java.util.List;
import java.util.Random;

/**
 * The load-balancing policy of a sidecar. This class only composes the rules and forwards events to
 * them; each rule is a class of its own with private state.
 *
 * <ul>
 *   <li>Host selection: {@link HostRing} over {@link HostSubset}, with turns by {@link
 *       TurnWeighting} and the rules of {@link HostGates}; the result for a host is a {@link
 *       HostEligibility}.
 *   <li>Admission: {@link AdmissionController}, {@link LoadShedder}, {@link TenantQueues}; the
 *       result is an {@link Admission} with its reason.
 *   <li>Retries: {@link RetryPolicy} and {@link RetryBudget}; the result is a {@link
 *       RetryDecision}.
 *   <li>State of hosts: {@link HostRegistry} from discovery, {@link HostHealth} from attempts;
 *       {@link HostRules} composes the rules behind both.
 * </ul>
 *
 * <p>{@code docs/design.md} describes the failure that each rule guards against.
 */
public final class SymmetricRoundRobinPolicy implements LoadBalancingPolicy {
    private final PolicySettings settings;
    private final TimerQueue timers;
    private final DiscoveryPoller discovery;
    private final HostRules hosts;
    private final TenantQueues queues;
    private final TurnWeighting turns;
    private final HostRing ring;
    private final RetryBudget retryBudget = new RetryBudget();
    private final InFlightRequests requests;
    private final AdmissionController admission;
    private final AttemptResults results;

    /**
     * Composes the policy of one sidecar.
     *
     * @param seed the only source of randomness
     * @param actions called only while an event is handled
     */
    public SymmetricRoundRobinPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        this.settings = settings;
        Random random = new Random(seed);
        timers = new TimerQueue(actions);
        discovery = new DiscoveryPoller(settings, random, timers, actions);
        hosts = new HostRules(settings, seed, random, actions);
        HostRegistry registry = hosts.registry;

        queues = new TenantQueues(settings, hosts.throughput.windowNanos());
        LoadShedder shedder = new LoadShedder(random, queues, hosts, actions);
        UnansweredAttemptMonitor monitor =
                new UnansweredAttemptMonitor(timers, hosts.thresholds, hosts.outliers, shedder);
        HostHealth health = new HostHealth(hosts, monitor);
        RetryPolicy retries = new RetryPolicy(settings, registry, retryBudget);

        HostGates gates = new HostGates(retries, hosts.concurrency, health, hosts.slowStart);
        turns = new TurnWeighting(random, hosts.weights, hosts.outliers);
        ring = new HostRing(random, registry, hosts.subset, gates, turns);
        HostSelector selector = new HostSelector(ring, registry, health, retries);

        AttemptDispatcher dispatcher = new AttemptDispatcher(hosts, queues, monitor, actions);
        requests =
                new InFlightRequests(settings, timers, queues, hosts.thresholds, retries, actions);
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
        results = new AttemptResults(hosts, health, shedder, retries, admission, requests);
    }

    @Override
    public void start(long now) {
        hosts.throughput.start(now);
        discovery.subscribe(now);
        timers.armTimer();
    }

    @Override
    public void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries) {
        if (kind == UpdateKind.FAILURE) {
            discovery.onFailure(now);
        } else {
            if (kind != UpdateKind.CACHED_SNAPSHOT) {
                discovery.onUpdate();
            }
            if (hosts.registry.apply(now, kind, entries)) {
                hosts.onReadyHostsChanged(hosts.registry.ready());
                turns.onReadyHostsChanged(hosts.registry.ready());
                ring.redraw();
            }
        }
        drainAndArm(now);
    }

    @Override
    public void onRequest(long now, RequestInfo info) {
        if (info.requestClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("request of unknown class " + info.requestClass());
        }
        TrackedRequest request = requests.open(now, info);
        hosts.throughput.onRequest(now, request);
        ring.resize(hosts.throughput.concurrentRequests(now));
        queues.of(request).onRequest(now, request);
        retryBudget.onRequest();
        hosts.gossip.onRequest();
        admission.admit(now, request);
        timers.armTimer();
    }

    @Override
    public void onResponseStarted(
            long now, long requestId, int attempt, long hostId, long elapsedNanos) {
        TrackedRequest request = requests.find(requestId).orElse(null);
        if (request == null || attempt >= request.attemptCount()) {
            return;
        }
        request.startStreaming();
        if (!request.requestClass().streaming()) {
            results.onResponseStarted(now, request, request.attempt(attempt), elapsedNanos >= 0);
            drainAndArm(now);
        }
    }

    @Override
    public void onAttemptEnded(
            long now,
            long requestId,
            int attempt,
            long hostId,
            Outcome outcome,
            long elapsedNanos,
            boolean requestEnded,
            float[] loadReport) {
        TrackedRequest request = requests.find(requestId).orElse(null);
        if (request != null
                && attempt < request.attemptCount()
                && request.attempt(attempt).isOutstanding()) {
            results.onAttemptEnded(now, request, request.attempt(attempt), outcome, requestEnded);
        }
        drainAndArm(now);
    }

    @Override
    public void onClientDisconnected(long now, long requestId) {
        requests.find(requestId).ifPresent(requests::close);
    }

    @Override
    public void onGossip(long now, int from, byte[] message) {
        hosts.outliers.onGossip(now, message);
    }

    @Override
    public void onTimer(long now, long token) {
        timers.onTimer(now, token);
        drainAndArm(now);
    }

    private void drainAndArm(long now) {
        admission.drain(now);
        timers.armTimer();
    }

    /** The number of tracked hosts, which must not grow as hosts are replaced. */
    int knownHosts() {
        return hosts.registry.hosts().size();
    }

    /** The number of requests that wait for capacity. */
    int queuedRequests() {
        return queues.countRequests();
    }
}
