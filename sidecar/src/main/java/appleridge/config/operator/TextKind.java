package appleridge.config.operator;

import java.nio.charset.StandardCharsets;

/** A text of one line. */
record TextKind(int maxChars) implements ValueKind<String> {
    @Override
    public String read(SourceValue cell) {
        if (!cell.node().isTextual()) {
            cell.reject("is not a text; put it in quotes");
            return null;
        }
        String text = cell.node().textValue();
        if (text.isEmpty() || text.length() > maxChars) {
            cell.reject("has " + text.length() + " characters, allowed are 1 to " + maxChars);
            return null;
        }
        if (text.chars().anyMatch(Character::isISOControl)) {
            cell.reject("holds a control character");
            return null;
        }
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            cell.reject("holds half a character");
            return null;
        }
        return text;
    }

    @Override
    public String show(String value) {
        return value;
    }
}
