package appleridge.admin;

import java.util.regex.Pattern;

/** An operator's command, parsed from one line of the admin protocol. */
public sealed interface AdminCall {
    /** The maximum length of a line in bytes, without its terminator. */
    int MAX_BYTES = 1024;

    /** A host id: 1 to 256 printable ASCII characters without spaces. */
    Pattern ID = Pattern.compile("[!-~]{1,256}");

    /** Queries whether the sidecar is ready. */
    record Status() implements AdminCall {}

    /** Queries the metrics. */
    record Metrics() implements AdminCall {}

    /** Suspends a host, which then gets no new attempts. */
    record Suspend(String id) implements AdminCall {}

    /** Restores a suspended host. */
    record Restore(String id) implements AdminCall {}

    /** A line that is no valid command, with a short reason for the reply. */
    record Malformed(String reason) implements AdminCall {}

    /** Parses a line without its terminator. Never throws: an invalid line is {@link Malformed}. */
    static AdminCall parse(byte[] line) {
        if (line.length > MAX_BYTES) {
            return new Malformed("line too long");
        }
        StringBuilder text = new StringBuilder(line.length);
        for (byte character : line) {
            if (character < ' ' && character != '\t' || character > '~') {
                return new Malformed("not text");
            }
            text.append((char) character);
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
