package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;

/** The requests that misbehaving clients send, by kind. */
final class BadRequests {
    private static final int HEAD_PARTS = 100;
    private static final long SLOW_HEAD_INTERVAL = 100 * Site.MS;
    private static final int PIPELINED = 200;
    private static final int NEVER_READ = 1000;
    private static final int LONG_PIPELINED = 8;
    private static final int MANY_HEADER_LINES = 150;
    private static final int BIG_CHUNK_SIZE = 16_384;
    private static final int BIG_CHUNK_COUNT = 40;

    /** Bytes announced for a big body. Only a bounded part is sent: the sidecar discards it. */
    private static final int ANNOUNCED_LENGTH = 60_000_000;

    private final SeededRandom chance;
    private final int maxBodyBytes;

    /**
     * @param maxBodyBytes the length of a long body
     */
    BadRequests(SeededRandom chance, int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
        this.chance = chance;
    }

    /**
     * @param id the request id to send
     */
    Script script(BadClientKind kind, String id) {
        return switch (kind) {
            case NOISE -> Script.of("\u0000\u0016\u0003\u0001 what is this \u00ff\r\n\r\n");
            case BAD_FIRST_LINE -> Script.of("POST\r\nHost: a\r\n\r\n");
            case BAD_HEADER -> Script.of(post(id, "no colon here\r\nContent-Length: 3\r\n", "abc"));
            case FOLDED -> Script.of(post(id, "X-Long: a\r\n b\r\nContent-Length: 3\r\n", "abc"));
            case ENDLESS_HEAD ->
                    Script.of("POST /api HTTP/1.1\r\n")
                            .repeat(HEAD_PARTS, 0, "X-More: " + "m".repeat(2000) + "\r\n");
            case SLOW_HEAD ->
                    Script.of("POST /api HTTP/1.1\r\nX-Slow: ")
                            .repeat(HEAD_PARTS, SLOW_HEAD_INTERVAL, "s");
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
            case HIDDEN -> smuggling(id);
            case BAD_CHUNKS ->
                    Script.of(post(id, "Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n"));
            case BIG_BODY ->
                    Script.of(post(id, "Content-Length: " + ANNOUNCED_LENGTH + "\r\n", ""))
                            .repeat(BIG_CHUNK_COUNT, 0, "b".repeat(BIG_CHUNK_SIZE));
            case BIG_CHUNKS ->
                    Script.of(post(id, "Transfer-Encoding: chunked\r\n", ""))
                            .repeat(
                                    BIG_CHUNK_COUNT,
                                    0,
                                    Integer.toHexString(BIG_CHUNK_SIZE)
                                            + "\r\n"
                                            + "c".repeat(BIG_CHUNK_SIZE)
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
            case HALF_CLOSE -> partial(id).ending(Script.End.CLOSE);
            case HALF_RESET -> partial(id).ending(Script.End.RESET);
            case HALF_SILENT -> partial(id);
            case HUNDREDS ->
                    Script.of("")
                            .repeat(
                                    PIPELINED,
                                    0,
                                    get(id, "X-Class: stock-chess\r\nX-Deadline: 0.4\r\n"));
            case LONG_REQUESTS ->
                    Script.of("")
                            .repeat(
                                    LONG_PIPELINED,
                                    0,
                                    post(
                                            id,
                                            "X-Class: stock-chess\r\nContent-Length: "
                                                    + maxBodyBytes
                                                    + "\r\n",
                                            "b".repeat(maxBodyBytes)));
            case MANY_HEADERS -> Script.of(post(id, "a: b\r\n".repeat(MANY_HEADER_LINES), ""));
            case NEVER_READS ->
                    Script.of("")
                            .repeat(NEVER_READ, 0, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            case CROWD -> new Script();
            default ->
                    throw new IllegalArgumentException(
                            "needs the open request of another client: " + kind);
        };
    }

    /**
     * Returns a request with the id of another client's open request. It has a different method, so
     * that no server takes it for the original.
     */
    Script reusingId(String id, String originalMethod) {
        return Script.of(
                originalMethod.equals("GET")
                        ? "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: "
                                + id
                                + "\r\n"
                                + "X-Class: raise-invoice\r\n"
                                + "X-Deadline: 0.4\r\n"
                                + "Content-Length: 3\r\n\r\n"
                                + "abc"
                        : get(id, "X-Class: stock-check\r\nX-Deadline: 0.4\r\n"));
    }

    /** Returns the id of the request that is smuggled in the body of the request with this id. */
    static String hiddenId(String id) {
        return id + "-hidden";
    }

    private static Script smuggling(String id) {
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

    private Script partial(String id) {
        String complete = post(id, "Content-Length: 30\r\n", "abcdefghij");
        return Script.of(complete.substring(0, 1 + chance.nextInt(complete.length() - 1)))
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
