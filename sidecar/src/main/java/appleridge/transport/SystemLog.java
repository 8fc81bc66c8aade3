package appleridge.transport;

import appleridge.request.EventLog;
import appleridge.request.LogEvent;
import appleridge.request.MonotonicClock;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Writes the log of the process. Warnings, failures and each kind of event are limited to one line
 * a second each: faulty clients or hosts can cause any number, and writing all of them would take
 * up the event loop's time.
 */
public final class SystemLog implements EventLog {
    private static final System.Logger LOG = System.getLogger("appleridge");
    private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Whether lines go to standard error, because the JVM's logging shuts down. */
    private static volatile boolean writesDirectly;

    private final MonotonicClock clock;
    private final System.Logger.Level level;
    private final RateLimitedLine warnings;
    private final RateLimitedLine failures;
    private final Map<LogEvent, RateLimitedLine> events = new EnumMap<>(LogEvent.class);

    /**
     * Creates a log.
     *
     * @param level the level of lines that are neither warnings nor failures
     */
    public SystemLog(MonotonicClock clock, System.Logger.Level level) {
        this.clock = clock;
        this.level = level;
        this.warnings = new RateLimitedLine();
        this.failures = new RateLimitedLine();
    }

    /**
     * Writes to standard error from now on. To be called when the shutdown of the process begins:
     * the JVM's logging has a shutdown hook of its own, so that lines logged during the drain would
     * be lost.
     */
    public static void writeDirectly() {
        writesDirectly = true;
    }

    /** Logs a line about the process as a whole, at level INFO. */
    public static void logProcessEvent(String line) {
        write(System.Logger.Level.INFO, line, null);
    }

    private static void write(System.Logger.Level level, String line, Throwable cause) {
        if (!writesDirectly) {
            LOG.log(level, line, cause);
        } else if (LOG.isLoggable(level)) {
            String suffix = cause == null ? "" : " (" + cause + ")";
            System.err.println(
                    String.format(
                            "%tT.%<tL %s %s%s",
                            SystemTime.UNIX_MILLIS.getAsLong(), level.getName(), line, suffix));
        }
    }

    @Override
    public void info(String line) {
        write(level, line, null);
    }

    @Override
    public void warning(String line) {
        warnings.log(System.Logger.Level.WARNING, () -> line, null);
    }

    /** Limits each kind separately, so that a frequent kind does not hide a rare one. */
    @Override
    public void event(LogEvent kind, Supplier<String> fields) {
        if (kind.isAlwaysWritten()) {
            write(level, kind.label() + " " + fields.get(), null);
            return;
        }
        events.computeIfAbsent(kind, each -> new RateLimitedLine())
                .log(level, () -> kind.label() + " " + fields.get(), null);
    }

    @Override
    public void failure(String what, Throwable cause) {
        failures.log(System.Logger.Level.ERROR, () -> what, cause);
    }

    /** Writes a line, or counts it if the last written one is too recent. */
    private final class RateLimitedLine {
        private long lastLoggedNanos = clock.nanoTime() - MIN_INTERVAL_NANOS;
        private int suppressedCount;

        void log(System.Logger.Level lineLevel, Supplier<String> message, Throwable cause) {
            long now = clock.nanoTime();
            if (now - lastLoggedNanos < MIN_INTERVAL_NANOS) {
                suppressedCount++;
                return;
            }
            String line = message.get();
            write(
                    lineLevel,
                    suppressedCount == 0
                            ? line
                            : line + "; suppressed before it: " + suppressedCount,
                    cause);
            lastLoggedNanos = now;
            suppressedCount = 0;
        }
    }
}
