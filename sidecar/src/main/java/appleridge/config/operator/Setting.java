package appleridge.config.operator;

/**
 * One setting and its effective value.
 *
 * @param path the key's full path
 * @param meaning a description for operators
 * @param value the effective value, formatted as in the file
 * @param defaultValue the default value, formatted as in the file; empty if there is none
 * @param fromFile whether the file has the key
 */
record Setting(String path, String meaning, String value, String defaultValue, boolean fromFile) {
    /** Whether the file sets a value other than the default. */
    boolean isChanged() {
        return fromFile && !value.equals(defaultValue);
    }
}
