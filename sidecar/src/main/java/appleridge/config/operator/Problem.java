package appleridge.config.operator;

/**
 * One thing that is wrong with an operator's file.
 *
 * @param path the key's full path, as in {@code clients.idle-timeout} or {@code route[2].host};
 *     lists count from 1; empty where the file as a whole is meant
 * @param line the line, from 1; 0 if it is not known
 * @param column the column, in characters from 1; 0 if it is not known
 * @param text what is wrong, in one line without control characters
 */
public record Problem(String path, int line, int column, String text) {
    /** All of it in one line. */
    @Override
    public String toString() {
        String where =
                line > 0 ? "line " + line + (column > 0 ? ", column " + column : "") + ": " : "";
        return where + (path.isEmpty() ? "" : path + ": ") + text;
    }
}
