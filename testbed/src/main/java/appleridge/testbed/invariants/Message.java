package appleridge.testbed.invariants;

/**
 * The parts of a request that must reach a server as its client wrote them.
 *
 * @param uri path and query
 * @param key its Idempotency-Key; null if it has none
 * @param length length of the body
 * @param hash hash of the body
 */
public record Message(String method, String uri, String key, int length, long hash) {
    /** Creates a message from the body itself. */
    public static Message of(String method, String uri, String key, byte[] body, int length) {
        return new Message(method, uri, key, length, hash(body, length));
    }

    /** Returns the FNV-1a hash of the first {@code length} bytes. */
    public static long hash(byte[] body, int length) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < length; i++) {
            hash = (hash ^ body[i] & 0xff) * 0x100000001b3L;
        }
        return hash;
    }

    /** Describes the differences for a violation; empty if there are none. */
    String differences(Message other) {
        StringBuilder text = new StringBuilder();
        addDifference(text, "method", method, other.method);
        addDifference(text, "path and query", uri, other.uri);
        addDifference(text, "Idempotency-Key", String.valueOf(key), String.valueOf(other.key));
        addDifference(text, "length", Integer.toString(length), Integer.toString(other.length));
        if (length == other.length && hash != other.hash) {
            text.append(text.length() > 0 ? ", " : "").append("another body");
        }
        return text.toString();
    }

    private static void addDifference(StringBuilder text, String what, String one, String other) {
        if (!one.equals(other)) {
            text.append(text.length() > 0 ? ", " : "")
                    .append(what)
                    .append(' ')
                    .append(other)
                    .append(" instead of ")
                    .append(one);
        }
    }
}
