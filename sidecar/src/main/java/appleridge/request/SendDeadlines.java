package appleridge.request;

/**
 * When an attempt may reach its upstream, in nanoseconds of the {@link MonotonicClock}. Danger:
 * what was allowed when the attempt was decided may not be any more when its bytes go: connecting
 * takes time, and a write may wait.
 *
 * @param firstByteByNanos no byte is written later than this: the attempt then ends as never sent
 * @param lastByteByNanos the last byte is not written later than this: the attempt is then broken
 *     off before it; the largest number where only the answer's time counts
 * @param responseByNanos how long the answer is waited for
 */
public record SendDeadlines(long firstByteByNanos, long lastByteByNanos, long responseByNanos) {}
