package appleridge.config.operator;

import java.util.regex.Pattern;

/**
 * A ZooKeeper path such as {@code /a/b}, limited to characters that never need escaping. May be
 * empty if {@code mayBeEmpty}; then {@code /} is rejected.
 */
record ZooKeeperPathKind(boolean mayBeEmpty) implements ValueKind<String> {
    private static final Pattern PATH = Pattern.compile("/|(/[A-Za-z0-9_.:@-]{1,128}){1,16}");
    private static final Pattern DOT_SEGMENT = Pattern.compile(".*/\\.{1,2}(/.*|$)");

    @Override
    public String read(SourceValue source) {
        String text = source.node().isTextual() ? source.node().textValue() : null;
        if (text != null
                && (mayBeEmpty && text.isEmpty()
                        || PATH.matcher(text).matches()
                                && !DOT_SEGMENT.matcher(text).matches()
                                && !(mayBeEmpty && text.equals("/")))) {
            return text;
        }
        source.reject(
                "is not a path; write one like \"/site-a/servers\", of letters, digits and any of"
                        + " _.:@-");
        return null;
    }

    @Override
    public String format(String value) {
        return value;
    }
}
