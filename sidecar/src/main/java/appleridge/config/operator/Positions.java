package appleridge.config.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The positions of the keys in a TOML text. The parser reports the positions of its own errors but
 * not those of values, so this class scans the text a second time when a problem is to be reported.
 * It doesn't validate: at invalid syntax, or at nesting deeper than {@value #MAX_DEPTH}, it stops
 * and all later positions are unknown.
 */
final class Positions {
    private static final int MAX_DEPTH = 20;
    private static final int MAX_PATH_CHARS = 200;

    private final String text;
    private final Map<String, Position> firstPositions = new HashMap<>();
    private final Map<String, Integer> arrayTableCounts = new HashMap<>();
    private final Set<String> definitions = new HashSet<>();
    private int offset;
    private int line = 1;
    private int lineStart;
    private Duplicate duplicate;

    /** A key that is assigned twice, or a table that is defined twice. */
    record Duplicate(String path, Position first, Position second) {}

    private Positions(String text) {
        this.text = text;
    }

    static Positions of(String text) {
        Positions positions = new Positions(text);
        positions.document();
        return positions;
    }

    /** The first position of a key, by its path; {@link Position#UNKNOWN} if it is unknown. */
    Position positionOf(String path) {
        return firstPositions.getOrDefault(path, Position.UNKNOWN);
    }

    /** The first key or table that is defined twice; null if there is none. */
    Duplicate duplicate() {
        return duplicate;
    }

    private void document() {
        String table = "";
        for (skipBlank(); offset < text.length(); skipBlank()) {
            if (peek() == '[') {
                table = header();
                skipLine();
            } else {
                pair(table, 0);
                skipLine();
            }
        }
    }

    /**
     * Scans {@code [a.b]} or {@code [[a.b]]} and returns the path of the keys that follow. The name
     * of an array of tables refers to its last table.
     */
    private String header() {
        Position start = here();
        offset++;
        boolean list = peek() == '[';
        if (list) {
            offset++;
        }
        List<String> keys = keys();
        String path = "";
        for (int i = 0; i < keys.size(); i++) {
            path = child(path, keys.get(i));
            if (path != null) {
                firstPositions.putIfAbsent(path, start);
                if (list && i == keys.size() - 1) {
                    arrayTableCounts.merge(path, 1, Integer::sum);
                }
                Integer count = arrayTableCounts.get(path);
                path = count == null ? path : MessageText.item(path, count - 1);
                firstPositions.putIfAbsent(path, start);
            }
        }
        if (!list) {
            noteDuplicate(path, "[" + path, start);
        }
        return path;
    }

    /** Scans {@code a.b = value} within the table at a path. */
    private void pair(String table, int depth) {
        Position start = here();
        String path = table;
        for (String key : keys()) {
            path = child(path, key);
            if (path != null) {
                firstPositions.putIfAbsent(path, start);
            }
        }
        noteDuplicate(path, path, start);
        if (peek() != '=') {
            giveUp();
            return;
        }
        offset++;
        value(path, depth);
    }

    private void noteDuplicate(String path, String what, Position start) {
        if (path != null && !definitions.add(what) && duplicate == null) {
            duplicate = new Duplicate(path, firstPositions.get(path), start);
        }
    }

    private void value(String path, int depth) {
        skipSpaces();
        switch (peek()) {
            case '"', '\'' -> string();
            case '[' -> list(path, depth + 1);
            case '{' -> inlineTable(path, depth + 1);
            default -> {
                while (offset < text.length() && ",]}#\n".indexOf(peek()) < 0) {
                    offset++;
                }
            }
        }
    }

    private void list(String path, int depth) {
        offset++;
        skipBlank();
        for (int i = 0; peek() != ']'; i++) {
            if (depth > MAX_DEPTH || offset >= text.length()) {
                giveUp();
                return;
            }
            String item = path == null ? null : MessageText.item(path, i);
            if (item != null) {
                firstPositions.putIfAbsent(item, here());
            }
            value(item, depth);
            skipBlank();
            if (peek() == ',') {
                offset++;
                skipBlank();
            } else if (peek() != ']') {
                giveUp();
                return;
            }
        }
        offset++;
    }

    private void inlineTable(String path, int depth) {
        offset++;
        skipBlank();
        while (peek() != '}') {
            if (depth > MAX_DEPTH || offset >= text.length()) {
                giveUp();
                return;
            }
            pair(path, depth);
            skipBlank();
            if (peek() == ',') {
                offset++;
                skipBlank();
            } else if (peek() != '}') {
                giveUp();
                return;
            }
        }
        offset++;
    }

    /** Scans a dotted key's parts; a part with escapes is null. */
    private List<String> keys() {
        List<String> keys = new ArrayList<>();
        while (true) {
            skipSpaces();
            keys.add(key());
            skipSpaces();
            if (peek() != '.') {
                return keys;
            }
            offset++;
        }
    }

    private String key() {
        int start = offset;
        if (peek() == '"' || peek() == '\'') {
            boolean escapes = peek() == '"';
            string();
            String name =
                    text.substring(Math.min(start + 1, offset), Math.max(start + 1, offset - 1));
            return escapes && name.indexOf('\\') >= 0 ? null : name;
        }
        while (MessageText.isBareKeyChar(peek())) {
            offset++;
        }
        return text.substring(start, offset);
    }

    /** Skips a quoted string, single-line or multi-line. */
    private void string() {
        char quote = (char) peek();
        String tripleQuote = String.valueOf(quote).repeat(3);
        boolean multiLine = text.startsWith(tripleQuote, offset);
        offset += multiLine ? 3 : 1;
        while (offset < text.length()) {
            if (multiLine ? text.startsWith(tripleQuote, offset) : peek() == quote) {
                offset += multiLine ? 3 : 1;
                while (multiLine && peek() == quote) {
                    offset++;
                }
                return;
            }
            if (quote == '"' && peek() == '\\') {
                offset++;
            }
            if (peek() == '\n' && !multiLine) {
                giveUp();
                return;
            }
            step();
        }
    }

    private static String child(String path, String key) {
        if (path == null || key == null || path.length() > MAX_PATH_CHARS) {
            return null;
        }
        return MessageText.child(path, key);
    }

    private Position here() {
        return new Position(line, offset - lineStart + 1);
    }

    private int peek() {
        return offset < text.length() ? text.charAt(offset) : -1;
    }

    private void step() {
        if (offset < text.length() && text.charAt(offset++) == '\n') {
            line++;
            lineStart = offset;
        }
    }

    private void skipSpaces() {
        while (peek() == ' ' || peek() == '\t') {
            offset++;
        }
    }

    /** Skips spaces, line breaks and comments. */
    private void skipBlank() {
        while (peek() == ' '
                || peek() == '\t'
                || peek() == '\r'
                || peek() == '\n'
                || peek() == '#') {
            if (peek() == '#') {
                skipLine();
            } else {
                step();
            }
        }
    }

    private void skipLine() {
        while (offset < text.length() && peek() != '\n') {
            offset++;
        }
        step();
    }

    private void giveUp() {
        offset = text.length();
    }
}
