package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;

/**
 * Formats a file's keys and values for messages: of bounded length, on one line, and without
 * characters that a terminal would interpret.
 */
final class MessageText {
    private static final int MAX_CHARS = 60;

    private MessageText() {}

    /** Appends a key to the path of its table. */
    static String child(String path, String key) {
        String name = isBareKey(key) ? truncate(key) : quoted(key);
        return path.isEmpty() ? name : path + "." + name;
    }

    /** Appends an item to the path of its list; {@code index} counts from 0, the path from 1. */
    static String item(String path, int index) {
        return path + "[" + (index + 1) + "]";
    }

    /** Formats a string, number or boolean; for a table, list or date returns only its type. */
    static String value(JsonNode node) {
        return switch (node.getNodeType()) {
            case STRING -> quoted(node.textValue());
            case NUMBER -> number(node);
            case BOOLEAN -> node.asText();
            case OBJECT -> "a table";
            case ARRAY -> "a list";
            default -> "a date or time";
        };
    }

    /** Formats a number. Adds {@code .0} to the float 2.0, which Jackson prints as 2. */
    private static String number(JsonNode node) {
        String text = node.asText();
        boolean looksWhole = text.chars().allMatch(c -> c == '-' || c >= '0' && c <= '9');
        return truncate(looksWhole && !node.isIntegralNumber() ? text + ".0" : text);
    }

    /** Text in quotes, with unprintable characters escaped and truncated if it is long. */
    static String quoted(String text) {
        StringBuilder out = new StringBuilder("\"");
        truncate(text)
                .chars()
                .forEach(
                        c -> {
                            if (c == '"' || c == '\\') {
                                out.append('\\').append((char) c);
                            } else if (isPrintable(c)) {
                                out.append((char) c);
                            } else {
                                out.append("\\u")
                                        .append(Character.forDigit(c >> 12, 16))
                                        .append(Character.forDigit(c >> 8 & 15, 16))
                                        .append(Character.forDigit(c >> 4 & 15, 16))
                                        .append(Character.forDigit(c & 15, 16));
                            }
                        });
        return out.append('"').toString();
    }

    /** At most {@value #MAX_CHARS} characters of a text. */
    static String truncate(String text) {
        return text.length() <= MAX_CHARS ? text : text.substring(0, MAX_CHARS - 3) + "...";
    }

    /** Describes why a file can't be read. */
    static String describeReadFailure(IOException e) {
        if (e instanceof NoSuchFileException) {
            return "no such file";
        }
        return e instanceof AccessDeniedException
                ? "permission denied"
                : String.valueOf(e.getMessage());
    }

    /** Whether a key needs no quotes in TOML. */
    static boolean isBareKey(String key) {
        return !key.isEmpty() && key.chars().allMatch(MessageText::isBareKeyChar);
    }

    /** Whether a character may be part of a TOML key without quotes. */
    static boolean isBareKeyChar(int c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '_';
    }

    /**
     * Whether a character is displayed as itself: false for control and format characters, line
     * separators and surrogates.
     */
    private static boolean isPrintable(int c) {
        int type = Character.getType(c);
        return c >= ' '
                && type != Character.CONTROL
                && type != Character.FORMAT
                && type != Character.SURROGATE
                && type != Character.LINE_SEPARATOR
                && type != Character.PARAGRAPH_SEPARATOR;
    }
}
