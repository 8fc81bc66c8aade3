package appleridge.request;

/**
 * The deadlines of an attempt, in nanoseconds on the {@link MonotonicClock}. The transport checks
 * them when it writes, because connecting takes time and a write may wait: an attempt that was in
 * time when the policy ordered it may be too late by then.
 *
 * @param firstByteByNanos the latest time to write the first byte; later the attempt ends as never
 *     sent
 * @param lastByteByNanos the latest time to write the last byte; later the attempt is aborted
 *     before it; {@link Long#MAX_VALUE} if only the response's deadline limits it
 * @param responseByNanos the latest time for the response
 */
public record SendDeadlines(long firstByteByNanos, long lastByteByNanos, long responseByNanos) {}
