package appleridge.config.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Where the keys of a TOML text stand. The parser tells where its own complaints are but not where
 * a value came from, so this walks over the text a second time, once something is to be told. It
 * trusts the parser with what is valid: over what is not, or is nested deeper than anyone writes,
 * it stops and knows no further places.
 */
final class Positions {
    private static final int DEEPEST = 20;
    private static final int LONGEST_PATH = 200;

    private final String text;
    private final Map<String, Position> first = new HashMap<>();
    private final Map<String, Integer> listed = new HashMap<>();
    private final Set<String> assigned = new HashSet<>();
    private int at;
    private int line = 1;
    private int lineStart;
    private Twice twice;

    /** A key that is given a value twice, or a table with two headings. */
    record Twice(String path, Position first, Position second) {}

    private Positions(String text) {
        this.text = text;
    }

    static Positions of(String text) {
        Positions positions = new Positions(text);
        positions.document();
        return positions;
    }

    /** Where a key stands first, by its path; {@link Position#UNKNOWN} if that can't be told. */
    Position where(String path) {
        return first.getOrDefault(path, Position.UNKNOWN);
    }

    /** The first key or table that stands twice; null if none does. */
    Twice twice() {
        return twice;
    }

    private void document() {
        String table = "";
        for (skipBlank(); at < text.length(); skipBlank()) {
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
     * {@code [a.b]} or {@code [[a.b]]}: the path of what follows; a name of a list means its last
     * table.
     */
    private String header() {
        Position start = here();
        at++;
        boolean list = peek() == '[';
        if (list) {
            at++;
        }
        List<String> keys = keys();
        String path = "";
        for (int i = 0; i < keys.size(); i++) {
            path = child(path, keys.get(i));
            if (path != null) {
                first.putIfAbsent(path, start);
                if (list && i == keys.size() - 1) {
                    listed.merge(path, 1, Integer::sum);
                }
                Integer count = listed.get(path);
                path = count == null ? path : MessageText.item(path, count - 1);
                first.putIfAbsent(path, start);
            }
        }
        if (!list) {
            noteTwice(path, "[" + path, start);
        }
        return path;
    }

    /** {@code a.b = value}, within the table at a path. */
    private void pair(String table, int depth) {
        Position start = here();
        String path = table;
        for (String key : keys()) {
            path = child(path, key);
            if (path != null) {
                first.putIfAbsent(path, start);
            }
        }
        noteTwice(path, path, start);
        if (peek() != '=') {
            giveUp();
            return;
        }
        at++;
        value(path, depth);
    }

    private void noteTwice(String path, String what, Position start) {
        if (path != null && !assigned.add(what) && twice == null) {
            twice = new Twice(path, first.get(path), start);
        }
    }

    private void value(String path, int depth) {
        skipSpaces();
        switch (peek()) {
            case '"', '\'' -> string();
            case '[' -> list(path, depth + 1);
            case '{' -> inlineTable(path, depth + 1);
            default -> {
                while (at < text.length() && ",]}#\n".indexOf(peek()) < 0) {
                    at++;
                }
            }
        }
    }

    private void list(String path, int depth) {
        at++;
        skipBlank();
        for (int i = 0; peek() != ']'; i++) {
            if (depth > DEEPEST || at >= text.length()) {
                giveUp();
                return;
            }
            String item = path == null ? null : MessageText.item(path, i);
            if (item != null) {
                first.putIfAbsent(item, here());
            }
            value(item, depth);
            skipBlank();
            if (peek() == ',') {
                at++;
                skipBlank();
            } else if (peek() != ']') {
                giveUp();
                return;
            }
        }
        at++;
    }

    private void inlineTable(String path, int depth) {
        at++;
        skipBlank();
        while (peek() != '}') {
            if (depth > DEEPEST || at >= text.length()) {
                giveUp();
                return;
            }
            pair(path, depth);
            skipBlank();
            if (peek() == ',') {
                at++;
                skipBlank();
            } else if (peek() != '}') {
                giveUp();
                return;
            }
        }
        at++;
    }

    /** A dotted key's parts; null for one that is written with escapes. */
    private List<String> keys() {
        List<String> keys = new ArrayList<>();
        while (true) {
            skipSpaces();
            keys.add(key());
            skipSpaces();
            if (peek() != '.') {
                return keys;
            }
            at++;
        }
    }

    private String key() {
        int start = at;
        if (peek() == '"' || peek() == '\'') {
            boolean escapes = peek() == '"';
            string();
            String name = text.substring(Math.min(start + 1, at), Math.max(start + 1, at - 1));
            return escapes && name.indexOf('\\') >= 0 ? null : name;
        }
        while (MessageText.isBare(peek())) {
            at++;
        }
        return text.substring(start, at);
    }

    /** Passes over a text in quotes, of one line or of several. */
    private void string() {
        char quote = (char) peek();
        String three = String.valueOf(quote).repeat(3);
        boolean severalLines = text.startsWith(three, at);
        at += severalLines ? 3 : 1;
        while (at < text.length()) {
            if (severalLines ? text.startsWith(three, at) : peek() == quote) {
                at += severalLines ? 3 : 1;
                while (severalLines && peek() == quote) {
                    at++;
                }
                return;
            }
            if (quote == '"' && peek() == '\\') {
                at++;
            }
            if (peek() == '\n' && !severalLines) {
                giveUp();
                return;
            }
            step();
        }
    }

    private static String child(String path, String key) {
        if (path == null || key == null || path.length() > LONGEST_PATH) {
            return null;
        }
        return MessageText.child(path, key);
    }

    private Position here() {
        return new Position(line, at - lineStart + 1);
    }

    private int peek() {
        return at < text.length() ? text.charAt(at) : -1;
    }

    private void step() {
        if (at < text.length() && text.charAt(at++) == '\n') {
            line++;
            lineStart = at;
        }
    }

    private void skipSpaces() {
        while (peek() == ' ' || peek() == '\t') {
            at++;
        }
    }

    /** Passes over spaces, line breaks and comments. */
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
        while (at < text.length() && peek() != '\n') {
            at++;
        }
        step();
    }

    private void giveUp() {
        at = text.length();
    }
}
