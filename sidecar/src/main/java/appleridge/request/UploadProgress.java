package appleridge.request;

/**
 * How far a client has sent a request whose body is streamed.
 *
 * @param lastIncompleteNanos the latest time, on the {@link MonotonicClock}, at which the client is
 *     known not to have sent its last byte; its timeout counts from then on at the earliest
 * @param complete whether the last byte has been read
 * @param upstreamWaitNanos for how long in all the rest was not read from the client, because the
 *     upstream host took no more
 */
public record UploadProgress(long lastIncompleteNanos, boolean complete, long upstreamWaitNanos) {}
