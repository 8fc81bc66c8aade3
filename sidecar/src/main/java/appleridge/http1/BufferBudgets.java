package appleridge.http1;

import appleridge.request.BufferBudget;
import appleridge.request.EventLog;
import appleridge.request.ReadAheadQueue;

/**
 * The budgets of what one sidecar buffers for its peers. Two, so that clients that send much do not
 * take the room for the responses to requests that have been executed already.
 *
 * @param requests for requests, from their first byte until all their attempts have ended
 * @param responses for responses, from their first byte until they are written to the client
 * @param readAhead shares out what the first can spare for reading long bodies ahead
 * @param limits the limits that the budgets are made from
 */
public record BufferBudgets(
        BufferBudget requests,
        BufferBudget responses,
        ReadAheadQueue readAhead,
        BufferLimits limits) {
    /** Creates unused budgets. */
    public static BufferBudgets of(BufferLimits limits, EventLog log) {
        BufferBudget requests = new BufferBudget(limits.requestBytes(), log);
        return new BufferBudgets(
                requests,
                new BufferBudget(limits.responseBytes(), log),
                new ReadAheadQueue(requests),
                limits);
    }
}
