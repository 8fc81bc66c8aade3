package appleridge.testbed.simnet;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/** The monotonic clock of a process, with its own origin. A reading within a task costs time. */
final class SimTicker implements Ticker {
    private final SimLoop loop;
    private final long origin;
    private long last;

    SimTicker(SimLoop loop, long origin) {
        this.loop = loop;
        this.origin = origin;
        last = loop.localNow();
    }

    @Override
    public long initialNanoTime() {
        return origin;
    }

    @Override
    public long nanoTime() {
        loop.chargeClockReading();
        last = Math.max(last, loop.localNow());
        return origin + last;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("an event loop must not sleep");
    }
}
