package appleridge.request;

/**
 * When an attempt may reach its upstream, in nanoseconds of the {@link MonotonicClock}. They are
 * checked again when bytes go, because connecting takes time and a write may wait: what the policy
 * allowed when it decided may not be allowed any more.
 *
 * @param firstByteByNanos no byte is written later than this: the attempt then ends as never sent
 * @param lastByteByNanos the last byte is not written later than this: the attempt is then broken
 *     off before it; the largest number where only the answer's time counts
 * @param responseByNanos until when the response is waited for
 */
public record SendDeadlines(long firstByteByNanos, long lastByteByNanos, long responseByNanos) {}
