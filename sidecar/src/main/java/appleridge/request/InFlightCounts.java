package appleridge.request;

/**
 * What is open: all zero once every request has its answer and every attempt its end.
 *
 * @param open requests without a final answer
 * @param attempts attempts that are out
 * @param calls requests of which anything is still kept
 * @param names ids under which a request is open
 */
public record InFlightCounts(int open, int attempts, int calls, int names) {}
