package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestState;

/**
 * When a fault is injected: at a fixed time, or some time after requests have entered a state for
 * the n-th time that day.
 *
 * @param at nanoseconds from the start of the day; with a state, nanoseconds after the state is
 *     entered for the n-th time
 * @param state null for a fixed time
 * @param nth counted from 1; 0 for a fixed time
 */
public record FaultTrigger(long at, RequestState state, int nth) {
    static FaultTrigger time(long at) {
        return new FaultTrigger(at, null, 0);
    }

    /** Whether the fault waits for a request to enter a state. */
    public boolean waitsForRequest() {
        return state != null;
    }
}
