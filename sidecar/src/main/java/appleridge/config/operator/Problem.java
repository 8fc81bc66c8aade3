package appleridge.config.operator;

/**
 * A problem in an operator's file.
 *
 * @param path the key's full path, as in {@code clients.idle-timeout} or {@code route[2].host};
 *     list items count from 1; empty if the problem concerns the whole file
 * @param line the line, from 1; 0 if it is unknown
 * @param column the column, in characters from 1; 0 if it is unknown
 * @param text a description, on one line and without control characters
 */
public record Problem(String path, int line, int column, String text) {
    /** Position, path and text on one line. */
    @Override
    public String toString() {
        String where =
                line > 0 ? "line " + line + (column > 0 ? ", column " + column : "") + ": " : "";
        return where + (path.isEmpty() ? "" : path + ": ") + text;
    }
}
