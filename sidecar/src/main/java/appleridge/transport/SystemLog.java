package appleridge.transport;

import appleridge.request.EventLog;
import appleridge.request.LogEvent;
import appleridge.request.MonotonicClock;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The process's log. Warnings and failures, the latter with their causes, are logged one a second
 * at most. Danger: a flood of bad clients or upstreams can bring about any number of them, and
 * writing them all would take the loop's time.
 */
public final class SystemLog implements EventLog {
    private static final System.Logger LOG = System.getLogger("appleridge");
    private static final long APART = TimeUnit.SECONDS.toNanos(1);

    /** The logging system has ended or is about to: lines go to the standard error as they are. */
    private static volatile boolean direct;

    private final MonotonicClock time;
    private final System.Logger.Level level;
    private final Sieve warnings;
    private final Sieve failures;
    private final Map<LogEvent, Sieve> events = new EnumMap<>(LogEvent.class);

    /** With the level of the ordinary lines. */
    public SystemLog(MonotonicClock time, System.Logger.Level level) {
        this.time = time;
        this.level = level;
        this.warnings = new Sieve();
        this.failures = new Sieve();
    }

    /**
     * To be called when the process begins to end. Danger: the logging system has a shutdown hook
     * of its own that runs beside the service's, and what the service does from then on would be
     * written nowhere.
     */
    public static void writeDirectly() {
        direct = true;
    }

    /** A line of the process as a whole. */
    public static void logProcessEvent(String line) {
        write(System.Logger.Level.INFO, line, null);
    }

    private static void write(System.Logger.Level how, String line, Throwable cause) {
        if (!direct) {
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

    /** Danger: one limit over all kinds would let a frequent kind hide a rare one. */
    @Override
    public void event(LogEvent kind, Supplier<String> fields) {
        if (kind.isAlwaysWritten()) {
            write(level, kind.label() + " " + fields.get(), null);
            return;
        }
        events.computeIfAbsent(kind, each -> new Sieve())
                .log(level, () -> kind.label() + " " + fields.get(), null);
    }

    @Override
    public void failure(String what, Throwable cause) {
        failures.log(System.Logger.Level.ERROR, () -> what, cause);
    }

    /** Logs, or counts what comes less than a second after a line that it has logged. */
    private final class Sieve {
        private long last = time.nanoTime() - APART;
        private int untold;

        void log(System.Logger.Level how, Supplier<String> what, Throwable cause) {
            long now = time.nanoTime();
            if (now - last < APART) {
                untold++;
                return;
            }
            String line = what.get();
            write(how, untold == 0 ? line : line + "; untold before it: " + untold, cause);
            last = now;
            untold = 0;
        }
    }
}
