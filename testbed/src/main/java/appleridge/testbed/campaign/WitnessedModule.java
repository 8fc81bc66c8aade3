package appleridge.testbed.campaign;

import appleridge.loadbalancing.HostState;
import appleridge.loadbalancing.LoadBalancingPolicy;
import appleridge.loadbalancing.Outcome;
import appleridge.loadbalancing.RequestInfo;
import appleridge.loadbalancing.UpdateKind;
import appleridge.loadbalancing.UpstreamHost;
import appleridge.testbed.invariants.DayListener;
import appleridge.testbed.simnet.Simulation;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongFunction;

/** Passes events on to a decision module, and tells of those that concern a request. */
final class WitnessedModule implements LoadBalancingPolicy {
    private final String sidecar;
    private final int life;
    private final DayListener evidence;
    private final LongFunction<String> names;
    private final Simulation simulation;
    private final LoadBalancingPolicy module;

    /** Upstreams that are ready as it was told. */
    private final Set<Long> listed = new TreeSet<>();

    /** With the names of upstreams by their numbers. */
    WitnessedModule(
            String sidecar,
            int life,
            DayListener evidence,
            LongFunction<String> names,
            Simulation simulation,
            LoadBalancingPolicy module) {
        this.sidecar = sidecar;
        this.life = life;
        this.evidence = evidence;
        this.names = names;
        this.simulation = simulation;
        this.module = module;
    }

    @Override
    public void start(long now) {
        module.start(now);
    }

    @Override
    public void onEndpointUpdate(long now, UpdateKind kind, List<UpstreamHost> entries) {
        boolean whole = kind == UpdateKind.SNAPSHOT || kind == UpdateKind.CACHED_SNAPSHOT;
        Set<Long> missing = new TreeSet<>(whole ? listed : Set.of());
        for (UpstreamHost each : entries) {
            missing.remove(each.id());
            listed(
                    each.id(),
                    each.state() == HostState.READY,
                    each.startedAtNanos() == 0
                            ? 0
                            : simulation.now() - (now - each.startedAtNanos()));
        }
        missing.forEach(each -> listed(each, false, 0));
        module.onEndpointUpdate(now, kind, entries);
    }

    private void listed(long upstream, boolean ready, long startedAt) {
        if (ready) {
            listed.add(upstream);
        } else {
            listed.remove(upstream);
        }
        evidence.moduleHostUpdated(sidecar, life, names.apply(upstream), ready, startedAt);
    }

    @Override
    public void onRequest(long now, RequestInfo request) {
        evidence.moduleAccepted(sidecar, life, request.id(), request.key());
        evidence.moduleRequest(
                sidecar,
                request.key(),
                request.requestClass(),
                request.tenant(),
                request.clientRetry());
        module.onRequest(now, request);
    }

    @Override
    public void onResponseStarted(
            long now, long request, int attempt, long upstream, long elapsed) {
        module.onResponseStarted(now, request, attempt, upstream, elapsed);
    }

    @Override
    public void onAttemptEnded(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load) {
        evidence.moduleOutcome(sidecar, life, request, attempt, outcome.name(), ended);
        if (ended) {
            evidence.moduleRequestEnded(sidecar, life, request);
        }
        module.onAttemptEnded(now, request, attempt, upstream, outcome, elapsed, ended, load);
    }

    @Override
    public void onClientDisconnected(long now, long request) {
        evidence.moduleRequestEnded(sidecar, life, request);
        module.onClientDisconnected(now, request);
    }

    @Override
    public void onTimer(long now, long token) {
        module.onTimer(now, token);
    }
}
