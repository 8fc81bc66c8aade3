package appleridge.testbed.campaign;

import appleridge.loadbalancing.Balancer.Actions;
import appleridge.testbed.invariants.Evidence;
import java.util.function.LongFunction;

/**
 * Passes a decision module's actions on, and tells of those that concern a request.
 *
 * @param names the upstream's id for the number by which the module knows it
 */
record WitnessedActions(
        String sidecar, int life, Evidence evidence, LongFunction<String> names, Actions actions)
        implements Actions {
    @Override
    public void send(long request, long upstream, long timeout) {
        evidence.moduleSends(sidecar, life, request, names.apply(upstream));
        actions.send(request, upstream, timeout);
    }

    @Override
    public void refuse(long request, long wait) {
        evidence.moduleRefuses(sidecar, life, request);
        actions.refuse(request, wait);
    }

    @Override
    public void fail(long request) {
        evidence.moduleFails(sidecar, life, request);
        actions.fail(request);
    }

    @Override
    public void cancel(long request, int attempt) {
        actions.cancel(request, attempt);
    }

    @Override
    public void timer(long token, long at) {
        actions.timer(token, at);
    }

    @Override
    public void probe(long upstream) {
        actions.probe(upstream);
    }

    @Override
    public void closeIdle(long upstream) {
        actions.closeIdle(upstream);
    }

    @Override
    public void tell(int peer, byte[] message) {
        actions.tell(peer, message);
    }

    @Override
    public void log(String line) {
        actions.log(line);
    }

    @Override
    public void subscribe(boolean on) {
        actions.subscribe(on);
    }

    @Override
    public void fetchList() {
        actions.fetchList();
    }
}
