package appleridge.admin;

import java.util.regex.Pattern;

/** One call of an operator, as read from a line. */
public sealed interface AdminCall {
    /** Bytes that a line may have, without its end. */
    int MOST_BYTES = 1024;

    /** What an id may hold: what is printed and no space. */
    Pattern ID = Pattern.compile("[!-~]{1,256}");

    /** Whether it serves. */
    record Status() implements AdminCall {}

    /** Its figures. */
    record Metrics() implements AdminCall {}

    /** An upstream gets nothing new. */
    record Suspend(String id) implements AdminCall {}

    /** An upstream is back. */
    record Restore(String id) implements AdminCall {}

    /** No call: why, in a few words. */
    record Unreadable(String why) implements AdminCall {}

    /** Reads a line without its end; anything can be read, be it as {@link UnreadableNodes}. */
    static AdminCall read(byte[] line) {
        if (line.length > MOST_BYTES) {
            return new Unreadable("line too long");
        }
        StringBuilder text = new StringBuilder(line.length);
        for (byte each : line) {
            if (each < ' ' && each != '\t' || each > '~') {
                return new Unreadable("not text");
            }
            text.append((char) each);
        }
        String[] words = text.toString().strip().split("[ \t]+");
        return switch (words[0]) {
            case "STATUS" ->
                    words.length == 1 ? new Status() : new Unreadable("STATUS takes no argument");
            case "METRICS" ->
                    words.length == 1 ? new Metrics() : new Unreadable("METRICS takes no argument");
            case "SUSPEND" ->
                    words.length == 2 && ID.matcher(words[1]).matches()
                            ? new Suspend(words[1])
                            : new Unreadable("SUSPEND takes one id");
            case "RESTORE" ->
                    words.length == 2 && ID.matcher(words[1]).matches()
                            ? new Restore(words[1])
                            : new Unreadable("RESTORE takes one id");
            case "" -> new Unreadable("empty call");
            default -> new Unreadable("unknown call");
        };
    }
}
