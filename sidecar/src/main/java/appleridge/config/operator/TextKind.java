package appleridge.config.operator;

import java.nio.charset.StandardCharsets;

/** A text of one line. */
record TextKind(int most) implements ValueKind<String> {
    @Override
    public String read(SourceValue cell) {
        if (!cell.node().isTextual()) {
            cell.wrong("is not a text; put it in quotes");
            return null;
        }
        String text = cell.node().textValue();
        if (text.isEmpty() || text.length() > most) {
            cell.wrong("has " + text.length() + " characters, allowed are 1 to " + most);
            return null;
        }
        if (text.chars().anyMatch(Character::isISOControl)) {
            cell.wrong("holds a control character");
            return null;
        }
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            cell.wrong("holds half a character");
            return null;
        }
        return text;
    }

    @Override
    public String show(String value) {
        return value;
    }
}
