package appleridge.request;

/**
 * How far a client has sent a request whose body is streamed.
 *
 * @param lastIncompleteNanos the latest time, on the {@link MonotonicClock}, at which the client is
 *     known not to have sent its last byte; its timeout counts from then on at the earliest
 * @param unreadBytes how many bytes of the request have not been read from the client
 * @param upstreamWaitNanos for how long in all the rest was not read from the client, because the
 *     upstream host took no more
 * @param pauses how often reading from the client was paused for that
 */
public record UploadProgress(
        long lastIncompleteNanos, long unreadBytes, long upstreamWaitNanos, int pauses) {}
