package appleridge.config.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;

/**
 * How keys and values of a file are put into messages: bounded, in one line, and harmless to a
 * terminal.
 */
final class MessageText {
    private static final int LONGEST = 60;

    private MessageText() {}

    /** The path of a key within the table at a path. */
    static String child(String path, String key) {
        String name = isBare(key) ? clip(key) : quoted(key);
        return path.isEmpty() ? name : path + "." + name;
    }

    /** The path of a list's item; {@code index} counts from 0, what is written from 1. */
    static String item(String path, int index) {
        return path + "[" + (index + 1) + "]";
    }

    /** A value as a message names it. */
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

    /** A number; the parser drops the zeros by which 2.0 differs from 2. */
    private static String number(JsonNode node) {
        String text = node.asText();
        boolean looksWhole = text.chars().allMatch(c -> c == '-' || c >= '0' && c <= '9');
        return clip(looksWhole && !node.isIntegralNumber() ? text + ".0" : text);
    }

    /** Text in quotes, its control characters escaped and its middle left out where it is long. */
    static String quoted(String text) {
        StringBuilder out = new StringBuilder("\"");
        clip(text)
                .chars()
                .forEach(
                        c -> {
                            if (c == '"' || c == '\\') {
                                out.append('\\').append((char) c);
                            } else if (isPlain(c)) {
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

    /** At most {@value #LONGEST} characters of a text. */
    static String clip(String text) {
        return text.length() <= LONGEST ? text : text.substring(0, LONGEST - 3) + "...";
    }

    /** Why a file can't be read. */
    static String unreadable(IOException e) {
        if (e instanceof NoSuchFileException) {
            return "no such file";
        }
        return e instanceof AccessDeniedException
                ? "may not be read"
                : String.valueOf(e.getMessage());
    }

    static boolean isBare(String key) {
        return !key.isEmpty() && key.chars().allMatch(MessageText::isBare);
    }

    static boolean isBare(int c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '_';
    }

    /**
     * Whether a character shows as itself: no control, change of direction, line break or half of a
     * pair.
     */
    private static boolean isPlain(int c) {
        int type = Character.getType(c);
        return c >= ' '
                && type != Character.CONTROL
                && type != Character.FORMAT
                && type != Character.SURROGATE
                && type != Character.LINE_SEPARATOR
                && type != Character.PARAGRAPH_SEPARATOR;
    }
}
