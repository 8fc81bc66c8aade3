package appleridge.testbed.simulation;

import appleridge.testbed.invariants.RequestState;

/**
 * When a fault strikes: at a time, or some time after a request has entered a state for the n-th
 * time that day.
 *
 * @param at nanoseconds from the start of the day; for a trap, after the moment at which it is
 *     sprung
 * @param state null for a time
 * @param nth from 1; 0 for a time
 */
public record FaultTrigger(long at, RequestState state, int nth) {
    static FaultTrigger time(long at) {
        return new FaultTrigger(at, null, 0);
    }

    /** Whether it waits for a request. */
    public boolean waitsForRequest() {
        return state != null;
    }
}
