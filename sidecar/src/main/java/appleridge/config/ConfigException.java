package appleridge.config;

import java.util.Optional;

/**
 * Thrown for a configuration value that is missing or not allowed. The message is one line that
 * names the key, the value and what is allowed, for example {@code rules.rampTime is missing;
 * allowed: a number}.
 */
public final class ConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;
    private static final int MAX_VALUE_CHARS = 80;

    private final String key;
    private final String value;
    private final String allowed;

    private ConfigException(String key, String value, String allowed, Throwable cause) {
        super(message(key, value, allowed), cause);
        this.key = key;
        this.value = value;
        this.allowed = allowed;
    }

    /** The key has no value and no default. */
    public static ConfigException missing(String key, String allowed) {
        return new ConfigException(key, null, allowed, null);
    }

    /**
     * The key's value is not one of those that are allowed.
     *
     * @param allowed the allowed range or form, as it completes "allowed: …"
     */
    public static ConfigException notAllowed(String key, Object value, String allowed) {
        return new ConfigException(key, String.valueOf(value), allowed, null);
    }

    /** Like {@link #notAllowed(String, Object, String)}, with the exception that revealed it. */
    public static ConfigException notAllowed(
            String key, Object value, String allowed, Throwable cause) {
        return new ConfigException(key, String.valueOf(value), allowed, cause);
    }

    /** The key as the configuration spells it, its parts joined by dots. */
    public String key() {
        return key;
    }

    /** The value as given; empty if the key is missing. */
    public Optional<String> value() {
        return Optional.ofNullable(value);
    }

    /** The allowed range or form. */
    public String allowed() {
        return allowed;
    }

    private static String message(String key, String value, String allowed) {
        return key
                + (value == null ? " is missing" : " is \"" + printable(value) + "\"")
                + "; allowed: "
                + allowed;
    }

    /** Makes the value safe to log: one line, of bounded length. */
    private static String printable(String value) {
        String line = value.replaceAll("\\p{Cntrl}", "?");
        return line.length() <= MAX_VALUE_CHARS ? line : line.substring(0, MAX_VALUE_CHARS) + "…";
    }
}
