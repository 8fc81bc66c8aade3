package appleridge.request;

import java.util.function.Supplier;

/** The operators' log of one sidecar. Event loop only. */
public interface EventLog {
    /** A line for operators. */
    void info(String line);

    /** A line for operators about something that needs attention. */
    void warning(String line);

    /**
     * An event with its fields in the form {@code key=value}. Each kind is rate-limited, with a
     * count of those suppressed; fields are computed only for what is written.
     */
    default void event(LogEvent kind, Supplier<String> fields) {}

    /** Something failed that must not stop the rest; {@code cause} may be null. */
    void failure(String what, Throwable cause);
}
