package appleridge.request;

/**
 * What is in flight: all zero once every request and every attempt has ended.
 *
 * @param openRequests requests without a final response
 * @param openAttempts attempts that have not ended
 * @param trackedRequests requests that are open or have an open attempt
 * @param requestIds clients' ids under which a request is open
 */
public record InFlightCounts(
        int openRequests, int openAttempts, int trackedRequests, int requestIds) {}
