package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;

/** What bad clients send, by kind. */
final class BadRequests {
    private static final int SPEED = 100;
    private static final int MANY = 200;
    private static final int VERY_MANY = 1000;
    private static final int BIG_PIECE = 16_384;
    private static final int BIG_PIECES = 40;

    /** 60 MB are said; what is sent of them is bounded, for it is thrown away. */
    private static final int SAID = 60_000_000;

    private final SeededRandom chance;

    BadRequests(SeededRandom chance) {
        this.chance = chance;
    }

    /**
     * @param id the bad client's own, or another's open one
     */
    Script script(BadClientKind kind, String id) {
        return switch (kind) {
            case NOISE -> Script.of("\u0000\u0016\u0003\u0001 what is this \u00ff\r\n\r\n");
            case BAD_FIRST_LINE -> Script.of("POST\r\nHost: a\r\n\r\n");
            case BAD_HEADER -> Script.of(post(id, "no colon here\r\nContent-Length: 3\r\n", "abc"));
            case FOLDED -> Script.of(post(id, "X-Long: a\r\n b\r\nContent-Length: 3\r\n", "abc"));
            case ENDLESS_HEAD ->
                    Script.of("POST /api HTTP/1.1\r\n")
                            .repeat(SPEED, 0, "X-More: " + "m".repeat(2000) + "\r\n");
            case SLOW_HEAD ->
                    Script.of("POST /api HTTP/1.1\r\nX-Slow: ").repeat(SPEED, SPEED * Site.MS, "s");
            case LONG_LENGTH -> Script.of(post(id, "Content-Length: 300\r\n", "abc"));
            case SHORT_LENGTH ->
                    Script.of(
                            post(id, "X-Class: none\r\nContent-Length: 3\r\n", "abcdefgh\r\n\r\n"));
            case NEGATIVE_LENGTH -> Script.of(post(id, "Content-Length: -3\r\n", "abc"));
            case HUGE_LENGTH ->
                    Script.of(post(id, "Content-Length: 99999999999999999999999\r\n", "abc"));
            case WORD_LENGTH -> Script.of(post(id, "Content-Length: three\r\n", "abc"));
            case TWO_LENGTHS ->
                    Script.of(post(id, "Content-Length: 3\r\nContent-Length: 30\r\n", "abc"));
            case HIDDEN -> hidden(id);
            case BAD_CHUNKS ->
                    Script.of(post(id, "Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n"));
            case BIG_BODY ->
                    Script.of(post(id, "Content-Length: " + SAID + "\r\n", ""))
                            .repeat(BIG_PIECES, 0, "b".repeat(BIG_PIECE));
            case BIG_CHUNKS ->
                    Script.of(post(id, "Transfer-Encoding: chunked\r\n", ""))
                            .repeat(
                                    BIG_PIECES,
                                    0,
                                    Integer.toHexString(BIG_PIECE)
                                            + "\r\n"
                                            + "c".repeat(BIG_PIECE)
                                            + "\r\n")
                            .then(0, "0\r\n\r\n");
            case UNKNOWN_CLASS, AGAIN ->
                    Script.of(get(id, "X-Class: stock-chess\r\nX-Deadline: 0.4\r\n"));
            case NO_CLASS -> Script.of(get(id, "X-Deadline: 0.4\r\n"));
            case BAD_DEADLINE -> Script.of(get(id, "X-Class: stock-check\r\nX-Deadline: soon\r\n"));
            case NO_DEADLINE -> Script.of(get(id, "X-Class: stock-check\r\n"));
            case NEGATIVE_DEADLINE ->
                    Script.of(get(id, "X-Class: stock-check\r\nX-Deadline: -1\r\n"));
            case NO_ID ->
                    Script.of(
                            "GET /api HTTP/1.1\r\nHost: a\r\nX-Class: stock-check\r\n"
                                    + "X-Deadline: 0.4\r\n\r\n");
            case NO_KEY ->
                    Script.of(
                            "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
                                    + id
                                    + "\r\n"
                                    + "X-Class: stock-hold\r\n"
                                    + "X-Deadline: 0.9\r\n"
                                    + "Content-Length: 3\r\n\r\n"
                                    + "abc");
            case WRONG_METHOD ->
                    Script.of(
                            "PUT /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
                                    + id
                                    + "\r\n"
                                    + "X-Class: raise-invoice\r\n"
                                    + "X-Deadline: 0.9\r\n"
                                    + "Content-Length: 3\r\n\r\n"
                                    + "abc");
            case WRONG_PATH ->
                    Script.of(
                            "GET /nowhere HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\n\r\n");
            case HALF_CLOSE -> half(id).ending(Script.End.CLOSE);
            case HALF_RESET -> half(id).ending(Script.End.RESET);
            case HALF_SILENT -> half(id);
            case HUNDREDS ->
                    Script.of("")
                            .repeat(
                                    MANY,
                                    0,
                                    get(id, "X-Class: stock-chess\r\nX-Deadline: 0.4\r\n"));
            case NEVER_READS ->
                    Script.of("")
                            .repeat(VERY_MANY, 0, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            case CROWD -> new Script();
            default -> throw new IllegalArgumentException("needs another's request: " + kind);
        };
    }

    /**
     * A request under the id of another's that is open, and of another method, so that no server
     * takes it.
     */
    Script same(String id, String othersMethod) {
        return Script.of(
                othersMethod.equals("GET")
                        ? "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
                                + id
                                + "\r\n"
                                + "X-Class: raise-invoice\r\n"
                                + "X-Deadline: 0.4\r\n"
                                + "Content-Length: 3\r\n\r\n"
                                + "abc"
                        : get(id, "X-Class: stock-check\r\nX-Deadline: 0.4\r\n"));
    }

    /** The id of the request that is hidden under this one. */
    static String hiddenId(String id) {
        return id + "-hidden";
    }

    private static Script hidden(String id) {
        String inner =
                "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
                        + hiddenId(id)
                        + "\r\n"
                        + "X-Class: raise-invoice\r\n"
                        + "X-Deadline: 0.9\r\n"
                        + "Content-Length: 0\r\n\r\n";
        String lengths =
                "Content-Length: " + (5 + inner.length()) + "\r\nTransfer-Encoding: chunked\r\n";
        return Script.of(post(id, lengths, "0\r\n\r\n" + inner));
    }

    private Script half(String id) {
        String whole = post(id, "Content-Length: 30\r\n", "abcdefghij");
        return Script.of(whole.substring(0, 1 + chance.nextInt(whole.length() - 1)))
                .then(Site.MS, "");
    }

    private static String get(String id, String headers) {
        return "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
                + id
                + "\r\nX-Tenant: cycles-moris\r\n"
                + headers
                + "\r\n";
    }

    private static String post(String id, String headers, String body) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
                + id
                + "\r\nX-Class: raise-invoice\r\nX-Tenant: cycles-moris\r\nX-Deadline: 0.9\r\n"
                + headers
                + "\r\n"
                + body;
    }
}
