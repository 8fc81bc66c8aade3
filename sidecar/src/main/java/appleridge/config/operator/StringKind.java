package appleridge.config.operator;

import java.nio.charset.StandardCharsets;

/** A string of one line, of 1 to {@code maxChars} characters. */
record StringKind(int maxChars) implements ValueKind<String> {
    @Override
    public String read(SourceValue source) {
        if (!source.node().isTextual()) {
            source.reject("is not a string; put it in quotes");
            return null;
        }
        String text = source.node().textValue();
        if (text.isEmpty() || text.length() > maxChars) {
            source.reject("has " + text.length() + " characters; allowed: 1 to " + maxChars);
            return null;
        }
        if (text.chars().anyMatch(Character::isISOControl)) {
            source.reject("contains a control character");
            return null;
        }
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            source.reject("contains an unpaired surrogate");
            return null;
        }
        return text;
    }

    @Override
    public String format(String value) {
        return value;
    }
}
