package appleridge.testbed.simulation;

import appleridge.testbed.simnet.SeededRandom;

/**
 * Builds the HTTP responses of an order server: successful ones, errors, and deliberately corrupted
 * ones.
 */
final class ServerResponses {
    private static final int REPETITIONS = 60;
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String HINTS = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
    private static final String NOISE = "\u0000\u0001\u00fe noise \r\n\r\n\u0016\u0003\u0001";
    private static final long THREE_GIB = 3L << 30;

    /** Nanoseconds between the end of a body and the reset that follows it. */
    private static final long RESET_DELAY = 5 * Site.MS;

    private final SeededRandom chance;
    private int failureCount;

    ServerResponses(SeededRandom chance) {
        this.chance = chance;
    }

    /** Returns a response that is delimited by a Content-Length. */
    static String plain(String status, String headers, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /**
     * Returns an error response of a failing server. The request may have been executed, even where
     * the response says otherwise with {@code X-Not-Run}.
     */
    String failed(String headers) {
        SeededRandom how = chance.stream("failed" + ++failureCount);
        String status =
                how.hits(0.5)
                        ? "500 Internal Server Error"
                        : how.hits(0.5) ? "503 Service Unavailable" : "504 Gateway Timeout";
        boolean odd = status.startsWith("500") && how.hits(0.2);
        return plain(status, headers + (odd ? "X-Not-Run: 1\r\n" : ""), "sorry");
    }

    /**
     * Returns a successful response.
     *
     * @param chunked probability that the body is sent in chunks
     */
    String good(String headers, String body, double chunked) {
        if (!chance.hits(chunked)) {
            return plain("200 OK", headers, body);
        }
        StringBuilder text = new StringBuilder(body.length() + 200);
        text.append("HTTP/1.1 200 OK\r\n")
                .append(headers)
                .append("Transfer-Encoding: chunked\r\n\r\n");
        int from = 0;
        while (from < body.length()) {
            int size =
                    Math.min(body.length() - from, 1 + chance.nextInt(Math.max(16, body.length())));
            text.append(Integer.toHexString(size))
                    .append("\r\n")
                    .append(body, from, from + size)
                    .append("\r\n");
            from += size;
        }
        return text.append("0\r\n\r\n").toString();
    }

    /** Returns a successful response together with something that does not belong to it. */
    Script withExtra(ResponseExtra extra, String good) {
        return switch (extra) {
            case INTERIM -> Script.of((chance.hits(0.5) ? CONTINUE : HINTS) + good);
            case INTERIMS ->
                    Script.of(CONTINUE).then(pause(20), HINTS).then(pause(20), CONTINUE + good);
            case COPY -> Script.of(good + good);
            case NOISE -> Script.of(good + NOISE);
            case LATE_NOISE -> Script.of(good).then(pause(300), NOISE);
            case CLOSES -> Script.of(good).ending(Script.End.CLOSE);
            default -> Script.of(good);
        };
    }

    /**
     * Returns a corrupted response. A corruption that a client cannot distinguish from a complete
     * response must not carry the body that the server made.
     */
    Script spoilt(ResponseCorruption how, String body) {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
        String sized = "Content-Length: " + body.length() + "\r\n";
        int half = body.length() / 2;
        return switch (how) {
            case NOISE -> Script.of(NOISE);
            case BAD_FIRST_LINE -> Script.of("HTTQ/9 fine\r\n" + sized + "\r\n" + body);
            case STATUS_WITHOUT_NUMBER -> Script.of("HTTP/1.1 good OK\r\n" + sized + "\r\n" + body);
            case BAD_HEADER -> Script.of(head + "no colon here\r\n" + sized + "\r\n" + body);
            case FOLDED -> Script.of(head + "X-Long: a\r\n b\r\n" + sized + "\r\n" + body);
            case CONTROL_BYTES -> Script.of(head + "X-Odd: a\u0000b\r\n" + sized + "\r\n" + body);
            case ENDLESS_HEAD ->
                    Script.of(head)
                            .repeat(
                                    REPETITIONS,
                                    2 * Site.MS,
                                    "X-More: " + "m".repeat(2000) + "\r\n");
            case LONG_LENGTH ->
                    Script.of(
                            head + "Content-Length: " + (body.length() + 500) + "\r\n\r\n" + body);
            case NEGATIVE_LENGTH -> Script.of(head + "Content-Length: -5\r\n\r\n" + body);
            case HUGE_LENGTH ->
                    Script.of(head + "Content-Length: 99999999999999999999999\r\n\r\n" + body);
            case TWO_LENGTHS -> Script.of(head + sized + "Content-Length: 3\r\n\r\n" + body);
            case LENGTH_AND_CHUNKS ->
                    Script.of(
                            head
                                    + sized
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(body.length())
                                    + "\r\n"
                                    + body
                                    + "\r\n0\r\n\r\n");
            case BAD_CHUNKS ->
                    Script.of(
                            head
                                    + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"
                                    + body
                                    + "\r\n0\r\n\r\n");
            // An orderly end would delimit the body and make the response valid; a reset does not.
            case NO_LENGTH ->
                    Script.of(head + "\r\n" + body).then(RESET_DELAY, "").ending(Script.End.RESET);
            case THREE_GIGABYTES ->
                    Script.of(head + "Content-Length: " + THREE_GIB + "\r\n\r\n")
                            .repeat(REPETITIONS, Site.MS, "3".repeat(8192));
            case CUT_HEAD ->
                    Script.of(head.substring(0, 10 + chance.nextInt(20))).ending(Script.End.CLOSE);
            case CUT_BODY ->
                    Script.of(head + sized + "\r\n" + body.substring(0, half))
                            .ending(Script.End.CLOSE);
            case CUT_RESET ->
                    Script.of(head + sized + "\r\n" + body.substring(0, half))
                            .then(pause(5), "")
                            .ending(Script.End.RESET);
            case STOPS -> Script.of(head + sized + "\r\n" + body.substring(0, half));
            case ONLY_INTERIM -> Script.of(CONTINUE).then(pause(5), HINTS);
            case SWITCHES ->
                    Script.of(
                            "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
                                    + "Upgrade: x\r\n\r\n"
                                    + body);
            default ->
                    throw new IllegalArgumentException(
                            "not a corruption of a whole response: " + how);
        };
    }

    /** Returns a complete successful response with a pause at a random position. */
    Script pausing(String good) {
        int at = 1 + chance.nextInt(good.length() - 1);
        return Script.of(good.substring(0, at)).then(pause(400), good.substring(at));
    }

    private long pause(int maxMillis) {
        return 1 + chance.nextLong(maxMillis * Site.MS);
    }
}
