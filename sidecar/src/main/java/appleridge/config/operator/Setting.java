package appleridge.config.operator;

/**
 * One setting as it holds.
 *
 * @param path the key's full path
 * @param meaning what it is, in plain words
 * @param value what holds, as a person writes it
 * @param defaultValue what holds where the file says nothing; empty if there is no such value
 * @param fromFile whether the file says it
 */
record Setting(String path, String meaning, String value, String defaultValue, boolean fromFile) {
    /** Whether the file makes this different from what it is without it. */
    boolean isChanged() {
        return fromFile && !value.equals(defaultValue);
    }
}
