package appleridge.testbed.standin;

import java.util.concurrent.TimeUnit;

/** Access to the system's clocks for all stand-ins; time starts when this object is created. */
public final class RealTime {
    private final long start = System.nanoTime();
    private final long unixStart = System.currentTimeMillis();

    /** Nanoseconds since the start; monotonic. */
    public long nanos() {
        return System.nanoTime() - start;
    }

    /** Converts a time of {@link #nanos()} to Unix time in milliseconds. */
    public long unixMillis(long at) {
        return unixStart + TimeUnit.NANOSECONDS.toMillis(at);
    }
}
