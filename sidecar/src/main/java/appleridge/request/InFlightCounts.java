package appleridge.request;

/**
 * What is open: all zero once every request has its answer and every attempt its end.
 *
 * @param openRequests requests without a final answer
 * @param openAttempts attempts that are out
 * @param trackedRequests requests of which anything is still kept
 * @param requestIds ids under which a request is open
 */
public record InFlightCounts(
        int openRequests, int openAttempts, int trackedRequests, int requestIds) {}
