package appleridge.transport;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one clock of a sidecar: Unix time in nanoseconds as read once at the start, carried on by the
 * monotonic clock. It never runs back.
 */
final class SidecarClock {
    private final Ticker ticker;
    private final LongSupplier unixMillis;
    private final long offset;

    SidecarClock(Ticker ticker, LongSupplier unixMillis) {
        this.ticker = ticker;
        this.unixMillis = unixMillis;
        this.offset = TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong()) - ticker.nanoTime();
    }

    long now() {
        return ticker.nanoTime() + offset;
    }

    /**
     * The place of a Unix time in milliseconds, never later than now. Danger: where the wall clock
     * has stepped since the start, or the machine was suspended, the two clocks disagree; what
     * started is then taken for as young as either makes it, for a cold upstream that is taken for
     * warm is pushed over.
     */
    long place(long millis) {
        long now = now();
        long byStart = TimeUnit.MILLISECONDS.toNanos(millis);
        long byWall = now - TimeUnit.MILLISECONDS.toNanos(unixMillis.getAsLong() - millis);
        return Math.min(now, Math.max(byStart, byWall));
    }
}
