package appleridge.transport;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clock of a sidecar: the Unix time at its start, advanced by the monotonic clock. It never
 * runs backwards.
 */
final class SidecarClock {
    private final Ticker ticker;
    private final LongSupplier unixMillis;
    private final long offsetNanos;

    /**
     * Starts the clock.
     *
     * @param ticker the monotonic clock
     * @param unixMillis the wall clock: Unix time in milliseconds
     */
    SidecarClock(Ticker ticker, LongSupplier unixMillis) {
        this.ticker = ticker;
        this.unixMillis = unixMillis;
        this.offsetNanos =
                TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong()) - ticker.nanoTime();
    }

    /** The time in nanoseconds: Unix time, unless the wall clock has stepped since the start. */
    long now() {
        return ticker.nanoTime() + offsetNanos;
    }

    /**
     * Converts the start time of a host to this clock; the result is never later than now.
     *
     * <p>If the wall clock has stepped or the machine was suspended, this clock and the wall clock
     * disagree. The later of the two results is returned, because a host that is considered warm
     * too early gets overloaded.
     *
     * @param startedAtMillis the start time, in milliseconds of Unix time
     */
    long nanosOfUnixMillis(long startedAtMillis) {
        long now = now();
        long byStart = TimeUnit.MILLISECONDS.toNanos(startedAtMillis);
        long byWall = now - TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong() - startedAtMillis);
        return Math.min(now, Math.max(byStart, byWall));
    }
}
