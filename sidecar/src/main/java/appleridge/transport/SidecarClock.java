package appleridge.transport;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clock of a sidecar: Unix time in nanoseconds as read once at the start, advanced by the
 * monotonic clock. It never runs back.
 */
final class SidecarClock {
    private final Ticker ticker;
    private final LongSupplier unixMillis;
    private final long offsetNanos;

    SidecarClock(Ticker ticker, LongSupplier unixMillis) {
        this.ticker = ticker;
        this.unixMillis = unixMillis;
        this.offsetNanos =
                TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong()) - ticker.nanoTime();
    }

    /** Unix time in nanoseconds. */
    long now() {
        return ticker.nanoTime() + offsetNanos;
    }

    /**
     * This clock's time of a host's start, never later than now.
     *
     * <p>Where the wall clock has stepped, or the machine was suspended, the two clocks disagree;
     * the later time of the two is taken, for a host that is taken for warm too early is
     * overloaded.
     *
     * @param startedAtMillis Unix time
     */
    long nanosOfUnixMillis(long startedAtMillis) {
        long now = now();
        long byStart = TimeUnit.MILLISECONDS.toNanos(startedAtMillis);
        long byWall = now - TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong() - startedAtMillis);
        return Math.min(now, Math.max(byStart, byWall));
    }
}
