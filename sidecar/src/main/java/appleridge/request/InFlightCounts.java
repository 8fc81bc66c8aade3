package appleridge.request;

/**
 * Counts of open requests and attempts; all are zero once every request and attempt has ended.
 *
 * @param openRequests requests without a final response
 * @param openAttempts attempts that have not ended
 * @param trackedRequests requests that are open or have an open attempt
 * @param requestIds ids, given by clients, of open requests
 */
public record InFlightCounts(
        int openRequests, int openAttempts, int trackedRequests, int requestIds) {}
