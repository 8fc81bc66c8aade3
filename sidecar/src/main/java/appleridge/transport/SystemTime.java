package appleridge.transport;

import java.util.function.LongSupplier;

/**
 * The system's clocks, and the only place where they are read; all else uses the event loop's
 * ticker.
 */
public final class SystemTime {
    /** Unix time in milliseconds. */
    public static final LongSupplier UNIX_MILLIS = System::currentTimeMillis;

    /** The monotonic clock in nanoseconds, for what has no event loop. */
    public static final LongSupplier NANOS = System::nanoTime;

    private SystemTime() {}
}
