package appleridge.testbed.campaign;

import appleridge.loadbalancing.Balancer;
import appleridge.testbed.invariants.Evidence;
import appleridge.testbed.simnet.Simulation;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongFunction;

/** Passes events on to a decision module, and tells of those that concern a request. */
final class WitnessedModule implements Balancer {
    private final String sidecar;
    private final int life;
    private final Evidence evidence;
    private final LongFunction<String> names;
    private final Simulation simulation;
    private final Balancer module;

    /** Upstreams that are ready as it was told. */
    private final Set<Long> listed = new TreeSet<>();

    /** With the names of upstreams by their numbers. */
    WitnessedModule(
            String sidecar,
            int life,
            Evidence evidence,
            LongFunction<String> names,
            Simulation simulation,
            Balancer module) {
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
    public void listChanged(long now, ListKind kind, List<Upstream> entries) {
        boolean whole = kind == ListKind.FULL || kind == ListKind.CACHED;
        Set<Long> missing = new TreeSet<>(whole ? listed : Set.of());
        for (Upstream each : entries) {
            missing.remove(each.id());
            listed(
                    each.id(),
                    each.state() == State.READY,
                    each.startedAt() == 0 ? 0 : simulation.now() - (now - each.startedAt()));
        }
        missing.forEach(each -> listed(each, false, 0));
        module.listChanged(now, kind, entries);
    }

    private void listed(long upstream, boolean ready, long startedAt) {
        if (ready) {
            listed.add(upstream);
        } else {
            listed.remove(upstream);
        }
        evidence.moduleListed(sidecar, life, names.apply(upstream), ready, startedAt);
    }

    @Override
    public void request(long now, Request request) {
        evidence.moduleTook(sidecar, life, request.id(), request.key());
        evidence.moduleHears(
                sidecar,
                request.key(),
                request.requestClass(),
                request.tenant(),
                request.clientRetry());
        module.request(now, request);
    }

    @Override
    public void firstByte(long now, long request, int attempt, long upstream, long elapsed) {
        module.firstByte(now, request, attempt, upstream, elapsed);
    }

    @Override
    public void outcome(
            long now,
            long request,
            int attempt,
            long upstream,
            Outcome outcome,
            long elapsed,
            boolean ended,
            float[] load) {
        evidence.moduleOutcome(sidecar, life, request, attempt, outcome.name(), ended);
        module.outcome(now, request, attempt, upstream, outcome, elapsed, ended, load);
    }

    @Override
    public void hangup(long now, long request) {
        module.hangup(now, request);
    }

    @Override
    public void timer(long now, long token) {
        module.timer(now, token);
    }
}
