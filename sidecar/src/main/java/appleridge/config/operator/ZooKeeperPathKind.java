package appleridge.config.operator;

import java.util.regex.Pattern;

/**
 * A path of ZooKeeper's: {@code /a/b}, of the characters that need no care anywhere; it may be
 * empty.
 */
record ZooKeeperPathKind(boolean mayBeEmpty) implements ValueKind<String> {
    private static final Pattern PATH = Pattern.compile("/|(/[A-Za-z0-9_.:@-]{1,128}){1,16}");
    private static final Pattern DOTS = Pattern.compile(".*/\\.{1,2}(/.*|$)");

    @Override
    public String read(SourceValue cell) {
        String text = cell.node().isTextual() ? cell.node().textValue() : null;
        if (text != null
                && (mayBeEmpty && text.isEmpty()
                        || PATH.matcher(text).matches()
                                && !DOTS.matcher(text).matches()
                                && !(mayBeEmpty && text.equals("/")))) {
            return text;
        }
        cell.reject(
                "is not a path; write one like \"/site-a/servers\", of letters, digits and any of"
                        + " _.:@-");
        return null;
    }

    @Override
    public String show(String value) {
        return value;
    }
}
