package appleridge.testbed.campaign;

import appleridge.loadbalancing.AnswerReason;
import appleridge.loadbalancing.PolicyActions;
import appleridge.testbed.invariants.DayListener;
import java.util.function.LongFunction;

/**
 * Passes a decision module's actions on, and tells of those that concern a request.
 *
 * @param names the upstream's id for the number by which the module knows it
 */
record WitnessedActions(
        String sidecar,
        int life,
        DayListener evidence,
        LongFunction<String> names,
        PolicyActions actions)
        implements PolicyActions {
    @Override
    public void sendAttempt(long request, long upstream, long timeout) {
        evidence.moduleStartedAttempt(sidecar, life, request, names.apply(upstream));
        actions.sendAttempt(request, upstream, timeout);
    }

    @Override
    public void reject(long request, long wait, AnswerReason reason) {
        evidence.moduleRefused(sidecar, life, request);
        actions.reject(request, wait, reason);
    }

    @Override
    public void fail(long request, AnswerReason reason) {
        evidence.moduleFailed(sidecar, life, request);
        actions.fail(request, reason);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        actions.cancelAttempt(request, attempt);
    }

    @Override
    public void setTimer(long token, long at) {
        actions.setTimer(token, at);
    }

    @Override
    public void sendHealthCheck(long upstream) {
        actions.sendHealthCheck(upstream);
    }

    @Override
    public void closeIdleConnections(long upstream) {
        actions.closeIdleConnections(upstream);
    }

    @Override
    public void sendGossip(int peer, byte[] message) {
        actions.sendGossip(peer, message);
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
    public void fetchEndpoints() {
        actions.fetchEndpoints();
    }
}
