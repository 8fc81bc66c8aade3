package appleridge.transport;

import java.util.function.LongSupplier;

/** The system clocks. No other class reads them; code on an event loop uses the loop's ticker. */
public final class SystemTime {
    /** Unix time in milliseconds. */
    public static final LongSupplier UNIX_MILLIS = System::currentTimeMillis;

    /** The monotonic clock in nanoseconds, for code without an event loop. */
    public static final LongSupplier NANOS = System::nanoTime;

    private SystemTime() {}
}
