package appleridge.transport;

import appleridge.request.EventLog;
import appleridge.request.LogEvent;
import appleridge.request.MonotonicClock;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The process's log. Of warnings, of failures and of each kind of event at most one a second is
 * written: bad clients or upstreams can cause any number, and writing all would take the loop's
 * time.
 */
public final class SystemLog implements EventLog {
    private static final System.Logger LOG = System.getLogger("appleridge");
    private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The JVM's logging has ended or is about to: lines go to the standard error. */
    private static volatile boolean writesDirectly;

    private final MonotonicClock clock;
    private final System.Logger.Level level;
    private final RateLimitedLine warnings;
    private final RateLimitedLine failures;
    private final Map<LogEvent, RateLimitedLine> events = new EnumMap<>(LogEvent.class);

    /** With the level of lines that are neither warnings nor failures. */
    public SystemLog(MonotonicClock time, System.Logger.Level level) {
        this.clock = time;
        this.level = level;
        this.warnings = new RateLimitedLine();
        this.failures = new RateLimitedLine();
    }

    /**
     * To be called when the process begins to end: the JVM's logging has a shutdown hook of its
     * own, and what the drain logs from then on would be lost.
     */
    public static void writeDirectly() {
        writesDirectly = true;
    }

    /** Logs a line about the process as a whole, at the level INFO. */
    public static void logProcessEvent(String line) {
        write(System.Logger.Level.INFO, line, null);
    }

    private static void write(System.Logger.Level how, String line, Throwable cause) {
        if (!writesDirectly) {
            LOG.log(how, line, cause);
        } else if (LOG.isLoggable(how)) {
            String why = cause == null ? "" : " (" + cause + ")";
            System.err.println(
                    String.format(
                            "%tT.%<tL %s %s%s",
                            SystemTime.UNIX_MILLIS.getAsLong(), how.getName(), line, why));
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

    /** Limited for each kind by itself, so that a frequent kind does not hide a rare one. */
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

    /** Writes a line, or counts it where it comes too soon after the last one that was written. */
    private final class RateLimitedLine {
        private long lastLoggedNanos = clock.nanoTime() - MIN_INTERVAL_NANOS;
        private int suppressedCount;

        void log(System.Logger.Level how, Supplier<String> what, Throwable cause) {
            long now = clock.nanoTime();
            if (now - lastLoggedNanos < MIN_INTERVAL_NANOS) {
                suppressedCount++;
                return;
            }
            String line = what.get();
            write(
                    how,
                    suppressedCount == 0
                            ? line
                            : line + "; suppressed before it: " + suppressedCount,
                    cause);
            lastLoggedNanos = now;
            suppressedCount = 0;
        }
    }
}
