package appleridge.admin;

import java.util.regex.Pattern;

/** One call of an operator, as parsed from a line. */
public sealed interface AdminCall {
    /** The longest line, without its end. */
    int MAX_BYTES = 1024;

    /** A host id: printable ASCII without spaces. */
    Pattern ID = Pattern.compile("[!-~]{1,256}");

    /** Asks whether the sidecar is ready. */
    record Status() implements AdminCall {}

    /** Asks for the metrics. */
    record Metrics() implements AdminCall {}

    /** Suspends a host: it gets no new attempts. */
    record Suspend(String id) implements AdminCall {}

    /** Restores a suspended host. */
    record Restore(String id) implements AdminCall {}

    /** Not a call; the reason in a few words. */
    record Malformed(String reason) implements AdminCall {}

    /** Parses a line without its end; any line can be parsed, if only as {@link Malformed}. */
    static AdminCall parse(byte[] line) {
        if (line.length > MAX_BYTES) {
            return new Malformed("line too long");
        }
        StringBuilder text = new StringBuilder(line.length);
        for (byte each : line) {
            if (each < ' ' && each != '\t' || each > '~') {
                return new Malformed("not text");
            }
            text.append((char) each);
        }
        String[] words = text.toString().strip().split("[ \t]+");
        return switch (words[0]) {
            case "STATUS" ->
                    words.length == 1 ? new Status() : new Malformed("STATUS takes no argument");
            case "METRICS" ->
                    words.length == 1 ? new Metrics() : new Malformed("METRICS takes no argument");
            case "SUSPEND" ->
                    words.length == 2 && ID.matcher(words[1]).matches()
                            ? new Suspend(words[1])
                            : new Malformed("SUSPEND takes one id");
            case "RESTORE" ->
                    words.length == 2 && ID.matcher(words[1]).matches()
                            ? new Restore(words[1])
                            : new Malformed("RESTORE takes one id");
            case "" -> new Malformed("empty call");
            default -> new Malformed("unknown call");
        };
    }
}
