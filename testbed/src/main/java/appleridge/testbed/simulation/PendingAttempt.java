package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ClientAttempt;
import appleridge.testbed.invariants.Message;
import appleridge.testbed.simnet.Simulation;
import java.nio.charset.StandardCharsets;

/**
 * One attempt of a client at a {@link RequestIntent}, from when it is due until it has ended or the
 * client has given up.
 */
final class PendingAttempt {

    /** How the attempt ended. */
    enum Outcome {

        /** Status 200. */
        SERVED,
        /** Status 429 or 503. */
        REFUSED,
        /** Any other status, or an incomplete response. */
        FAILED,
        /** The connection ended before the sidecar read any byte of the request. */
        CROSSED,
        /** The client did not wait for the response. */
        GAVE_UP,
        /** No connection could be established. */
        UNSENT
    }

    private static final char[] HEX = "0123456789abcdef".toCharArray();

    /**
     * How long a client waits past its deadline, so that a response that is too late is observed.
     */
    private static final long LATE_RESPONSE_MARGIN = 150 * Site.MS;

    private static final int EXPECTED_HEAD_LENGTH = 512;
    private static final int MAX_PAUSES = 3;
    private static final long MAX_PAUSE = 30 * Site.MS;

    final String id;
    final RequestIntent intent;
    final long cookieKey;
    final long deadline;
    final long patience;
    private final int number;

    /** How often a slow writer pauses within its request. */
    private final int pauses;

    private final long pause;
    private final Day day;
    private final Application application;
    private Simulation.Event timeout;
    private AppConnection connection;
    private String sidecar;
    private long startedAt;
    private boolean finished;

    /**
     * @param serial unique among all attempts of the day; the id derives from it
     */
    PendingAttempt(Day day, Application application, RequestIntent intent, long serial) {
        this.day = day;
        this.application = application;
        this.intent = intent;
        this.id = hex(mix(serial * 2));
        this.cookieKey = mix(serial * 2 + 1);
        this.number = intent.tries++;
        long left = intent.endsAt == 0 ? intent.deadline : intent.endsAt - day.now();

        // X-Deadline has whole milliseconds.
        long share = (long) (intent.share * intent.deadline);
        this.deadline = Math.max(Site.MS, Math.min(left, share) / Site.MS * Site.MS);
        this.pauses = intent.slowWriter ? 1 + intent.chance.nextInt(MAX_PAUSES) : 0;
        this.pause = 1 + intent.chance.nextLong(MAX_PAUSE);
        this.patience =
                intent.departing
                        ? intent.departsAfter
                        : intent.impatient
                                ? (long) (deadline * intent.chance.nextDouble() * 0.5)
                                : deadline + LATE_RESPONSE_MARGIN + pauses * pause;
    }

    /** Mixes the bits; a bijection, so distinct inputs stay distinct, and only 0 maps to 0. */
    private static long mix(long number) {
        long z = number * 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 32) * 0xD6E8FEB86659FD93L;
        return z ^ z >>> 32;
    }

    private static String hex(long value) {
        char[] digits = new char[16];
        for (int i = 0; i < digits.length; i++) {
            digits[i] = HEX[(int) (value >>> 4 * (15 - i)) & 15];
        }
        return new String(digits);
    }

    long startedAt() {
        return startedAt;
    }

    /** When the deadline passes. */
    long expiresAt() {
        return startedAt + deadline;
    }

    /** Reports the attempt; called just before its first byte is written to the connection. */
    void start(AppConnection newConnection) {
        connection = newConnection;
        sidecar = newConnection.slot().name();
        startedAt = day.now();
        if (intent.endsAt == 0) {
            intent.endsAt = startedAt + intent.deadline;
        }
        Message message =
                Message.of(
                        intent.method(), intent.uri, intent.key, intent.body, intent.body.length);
        day.sentRequests.add(
                id, new SentRequestRegistry.SentRequest(intent.requestClass, message, intent.work));
        day.evidence.requestStarted(
                new ClientAttempt(
                        id,
                        intent.origin,
                        number,
                        sidecar,
                        intent.requestClass,
                        intent.tenant,
                        intent.key,
                        cookieKey,
                        startedAt,
                        deadline,
                        patience));
        day.evidence.requestMessage(id, message);
        if (intent.slowReader) {
            day.evidence.clientLinkTroubled(sidecar, id, startedAt, startedAt + patience);
        }
        timeout = day.after(patience, this::giveUp);
    }

    void written() {
        if (!finished) {
            day.evidence.requestSent(id);
        }
    }

    /** Closes the connection, which also abandons every other attempt that is open on it. */
    void giveUp() {
        if (!finished) {
            connection.disconnect();
        }
    }

    void abandon() {
        if (finish()) {
            day.evidence.clientGaveUp(id);
            application.ended(this, Outcome.GAVE_UP, -1);
        }
    }

    void answered(int status, String body, long retryAfter, long lastByteSentAt) {
        if (finish()) {
            day.evidence.answered(id, status, body, retryAfter, lastByteSentAt);
            Outcome outcome =
                    status == 200
                            ? Outcome.SERVED
                            : status == 429 || status == 503 ? Outcome.REFUSED : Outcome.FAILED;
            application.ended(this, outcome, retryAfter);
        }
    }

    /**
     * @param crossed whether the connection, reused after an earlier response, ended before the
     *     sidecar read any byte of this request
     */
    void broken(String how, boolean begun, boolean crossed) {
        if (finish()) {
            day.evidence.answerBroken(id, crossed ? "crossed" : how, begun);
            application.ended(this, crossed ? Outcome.CROSSED : Outcome.FAILED, -1);
        }
    }

    /** The attempt ends without having been sent. */
    void unsent() {
        if (!finished) {
            finished = true;
            application.ended(this, Outcome.UNSENT, -1);
        }
    }

    private boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        timeout.cancel();
        return true;
    }

    /** Returns the request with the pauses of a slow writer. */
    Script script() {
        String text = requestText();
        Script script = new Script();
        int from = 0;
        for (int i = 0; i < pauses; i++) {
            int to = from + intent.chance.nextInt(text.length() - from);
            script.then(i == 0 ? 0 : pause, text.substring(from, to));
            from = to;
        }
        return script.then(pauses == 0 ? 0 : pause, text.substring(from));
    }

    /** Returns the request as it is sent. */
    private String requestText() {
        StringBuilder text = new StringBuilder(EXPECTED_HEAD_LENGTH + intent.body.length);
        text.append(intent.method())
                .append(' ')
                .append(intent.uri)
                .append(" HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: ")
                .append(id)
                .append("\r\nX-Class: ")
                .append(intent.kind.name())
                .append("\r\nX-Tenant: ")
                .append(Tenants.ALL.get(intent.tenant).name())
                .append("\r\nCookie: user=")
                .append(hex(cookieKey))
                .append("\r\nX-Deadline: ")
                .append(Unit.TIME.text(deadline))
                .append("\r\n");
        if (number > 0) {
            text.append("X-Retry: 1\r\n");
        }
        if (intent.key != null) {
            text.append("Idempotency-Key: ").append(intent.key).append("\r\n");
        }
        if (!intent.method().equals("GET")) {
            text.append("Content-Length: ").append(intent.body.length).append("\r\n");
        }
        text.append("\r\n");
        return text.append(new String(intent.body, StandardCharsets.ISO_8859_1)).toString();
    }
}
