package appleridge.request;

/** Bounds texts of clients that are written to the log. Stateless. */
public final class LogText {
    private static final int MAX_ID_LENGTH = 64;

    private LogText() {}

    /** Returns a request's id, cut off if it is longer than any usual id. */
    public static String id(String id) {
        return id == null || id.length() <= MAX_ID_LENGTH
                ? id
                : id.substring(0, MAX_ID_LENGTH) + "...";
    }
}
