package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.invariants.RequestStates;
import java.util.ArrayList;
import java.util.List;

/**
 * Injects planned faults when the n-th request enters a state. Some faults can only be injected in
 * a later step of the simulation; if the request has left the state by then, the next request that
 * enters it is taken. The next request is also taken if the fault would have no effect on this one.
 */
final class StateTriggers {
    private final Day day;
    private final FaultInjector injector;
    private final RequestStates states;

    StateTriggers(Day day, FaultInjector injector, RequestStates states) {
        this.day = day;
        this.injector = injector;
        this.states = states;
    }

    void install(List<Fault> faults) {
        for (RequestState state : RequestState.values()) {
            List<Fault> waiting = new ArrayList<>();
            for (Fault each : faults) {
                if (each.trigger().state() == state) {
                    waiting.add(each);
                }
            }
            if (!waiting.isEmpty()) {
                int[] visits = new int[1];
                states.onEnter(state, request -> entered(request, ++visits[0], waiting));
            }
        }
    }

    private void entered(ObservedRequest request, int visit, List<Fault> waiting) {
        for (int i = waiting.size() - 1; i >= 0; i--) {
            if (waiting.get(i).trigger().nth() <= visit && waiting.get(i).kind().affects(request)) {
                trigger(waiting.remove(i), request, waiting);
            }
        }
    }

    /**
     * Called in the middle of the code that changed the state, where only socket faults are safe.
     * All others are injected in a step of their own.
     */
    private void trigger(Fault fault, ObservedRequest request, List<Fault> waiting) {
        long after = fault.trigger().at();
        if (after == 0 && FaultInjector.isImmediate(fault.kind())) {
            injector.inject(fault, request);
            return;
        }
        day.after(
                after,
                () -> {
                    RequestState now = states.state(request.id());
                    if (after == 0 && now != request.state()) {
                        waiting.add(fault);
                    } else if (!fault.kind().requiresRequest()
                            || now != null && fault.kind().canAffect(now)) {
                        injector.inject(fault, request);
                    }
                });
    }
}
