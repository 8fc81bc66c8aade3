package appleridge.testbed.campaign;

import java.util.ArrayList;
import java.util.List;

/**
 * A command line's words: {@code --name value} and {@code --name}; what nobody asked for is an
 * error.
 */
final class Options {
    private final List<String> words;

    Options(String... words) {
        this.words = new ArrayList<>(List.of(words));
    }

    boolean flag(String name) {
        return words.remove(name);
    }

    /** Null if absent. */
    String value(String name) {
        int at = words.indexOf(name);
        if (at < 0) {
            return null;
        }
        if (at + 1 == words.size()) {
            throw new IllegalArgumentException(name + " wants a value");
        }
        words.remove(at);
        return words.remove(at);
    }

    /** The value that a name may have; empty if it has none, null if it is absent. */
    String valueIfAny(String name) {
        int at = words.indexOf(name);
        boolean has = at >= 0 && at + 1 < words.size() && !words.get(at + 1).startsWith("--");
        return has ? value(name) : flag(name) ? "" : null;
    }

    /** At least so much where it is given. */
    int number(String name, int least, int absent) {
        String text = value(name);
        long number = text == null ? absent : whole(name, text);
        if (text != null && (number < least || number > Integer.MAX_VALUE)) {
            throw new IllegalArgumentException(name + " is at least " + least + ", not " + text);
        }
        return (int) number;
    }

    /** {@code name}: what the number is, for the error if it is none. */
    static long whole(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(name + " is a whole number, not " + text, e);
        }
    }

    void done() {
        if (!words.isEmpty()) {
            throw new IllegalArgumentException("unknown: " + String.join(" ", words));
        }
    }
}
