package appleridge.testbed.standin;

import java.util.concurrent.TimeUnit;

/** The system's clocks, read nowhere else here: nanoseconds from the making of this object. */
public final class RealTime {
    private final long start = System.nanoTime();
    private final long unixStart = System.currentTimeMillis();

    /** Nanoseconds since the start; never runs back. */
    public long nanos() {
        return System.nanoTime() - start;
    }

    /** A moment of {@link #nanos()} as Unix time in milliseconds. */
    public long unixMillis(long at) {
        return unixStart + TimeUnit.NANOSECONDS.toMillis(at);
    }
}
