package appleridge.request;

import java.util.function.Supplier;

/** The log of one sidecar, written for its operators. Event loop only. */
public interface EventLog {
    /** Logs a line. */
    void info(String line);

    /** Logs a line about a condition that needs an operator's attention. */
    void warning(String line);

    /**
     * Logs an event with its fields in the form {@code key=value}. Each kind is rate-limited, and
     * the next line of that kind gives the number of suppressed ones. The fields are computed only
     * for a line that is written.
     */
    default void event(LogEvent kind, Supplier<String> fields) {}

    /** Logs a failure that does not stop the sidecar; {@code cause} may be null. */
    void failure(String what, Throwable cause);
}
