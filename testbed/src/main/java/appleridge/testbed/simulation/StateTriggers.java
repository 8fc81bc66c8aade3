package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ObservedRequest;
import appleridge.testbed.invariants.RequestState;
import appleridge.testbed.invariants.RequestStates;
import java.util.ArrayList;
import java.util.List;

/**
 * Waits for the n-th request to enter a state, and has the fault struck that was planned for it.
 * Where that request is in the state for a moment within one step only, and the fault can but come
 * as a step of its own, the next request that stays there is struck; so is the next where a fault
 * would change nothing for that one.
 */
final class StateTriggers {
    private final Day day;
    private final FaultInjector strikes;
    private final RequestStates states;

    StateTriggers(Day day, FaultInjector strikes, RequestStates states) {
        this.day = day;
        this.strikes = strikes;
        this.states = states;
    }

    void set(List<Fault> faults) {
        for (RequestState state : RequestState.values()) {
            List<Fault> waiting = new ArrayList<>();
            for (Fault each : faults) {
                if (each.trigger().state() == state) {
                    waiting.add(each);
                }
            }
            if (!waiting.isEmpty()) {
                int[] visits = new int[1];
                states.on(state, request -> entered(request, ++visits[0], waiting));
            }
        }
    }

    private void entered(ObservedRequest request, int visit, List<Fault> waiting) {
        for (int i = waiting.size() - 1; i >= 0; i--) {
            if (waiting.get(i).trigger().nth() <= visit && waiting.get(i).kind().affects(request)) {
                spring(waiting.remove(i), request, waiting);
            }
        }
    }

    /**
     * Danger: this comes in the middle of what brought the state about. But for sockets, a step of
     * its own.
     */
    private void spring(Fault fault, ObservedRequest request, List<Fault> waiting) {
        long after = fault.trigger().at();
        if (after == 0 && FaultInjector.isImmediate(fault.kind())) {
            strikes.inject(fault, request);
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
                        strikes.inject(fault, request);
                    }
                });
    }
}
