package appleridge.request;

import java.util.function.Supplier;

/** The log of one sidecar, written for its operators. Event loop only. */
public interface EventLog {
    /** Logs a line. */
    void info(String line);

    /** Logs a line about a condition that needs an operator's attention. */
    void warning(String line);

    /**
     * Logs an event with its fields in the form {@code key=value}. Each kind is rate-limited; the
     * first line after a suppression gives the number of suppressed lines of its kind. The fields
     * are computed only for a line that is written. By default, events are not logged.
     */
    default void event(LogEvent kind, Supplier<String> fields) {}

    /** Logs a failure that does not stop the sidecar; {@code cause} may be null. */
    void failure(String what, Throwable cause);
}
