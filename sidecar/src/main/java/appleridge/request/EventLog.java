package appleridge.request;

import java.util.function.Supplier;

/** Where a sidecar's life is written down. */
public interface EventLog {
    /** A line for operators. */
    void info(String line);

    /** A line for operators about something that needs an eye. */
    void warning(String line);

    /**
     * An event with its fields in the form {@code key=value}. Of one kind only some a second are
     * written, with a count of those left out, and the fields are asked for only then.
     */
    default void event(LogEvent kind, Supplier<String> fields) {}

    /** Something failed that must not stop the rest; the cause may be null. */
    void failure(String what, Throwable cause);
}
