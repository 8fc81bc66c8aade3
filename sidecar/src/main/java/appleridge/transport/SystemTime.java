package appleridge.transport;

import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The system clocks. No other class reads them; code on an event loop uses the loop's ticker. */
public final class SystemTime {
    /** Unix time in milliseconds. */
    public static final LongSupplier UNIX_MILLIS = System::currentTimeMillis;

    /** The monotonic clock in nanoseconds, for code without an event loop. */
    public static final LongSupplier NANOS = System::nanoTime;

    /** The time from the start of the process until the virtual machine reads its first clock. */
    private static final long LAUNCH_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private SystemTime() {}

    /**
     * The time since this process began, by the monotonic clock; rather too long than too short.
     */
    public static long processAgeNanos() {
        long uptimeMillis = ManagementFactory.getRuntimeMXBean().getUptime();
        return TimeUnit.MILLISECONDS.toNanos(uptimeMillis) + LAUNCH_NANOS;
    }
}
