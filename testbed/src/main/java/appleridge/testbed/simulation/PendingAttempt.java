package appleridge.testbed.simulation;

import appleridge.testbed.invariants.ClientAttempt;
import appleridge.testbed.invariants.Message;
import appleridge.testbed.simnet.Simulation;
import java.nio.charset.StandardCharsets;

/**
 * One try of a wish, from when it is due until its client knows how it ended, or no longer cares.
 */
final class PendingAttempt {
    /** How it ended. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        CROSSED,
        GAVE_UP,
        UNSENT
    }

    private static final char[] HEX = "0123456789abcdef".toCharArray();

    /**
     * Clients look a little longer for an answer than they have said, so that a late one is seen.
     */
    private static final long LOOKS_LONGER = 150 * Site.MS;

    private static final int LONG_TEXT = 512;
    private static final int MOST_PAUSES = 3;
    private static final long LONGEST_PAUSE = 30 * Site.MS;

    final String id;
    final RequestIntent wish;
    final long cookieKey;
    final long deadline;
    final long patience;
    private final int number;

    /** A slow writer's, within its request. */
    private final int pauses;

    private final long pause;
    private final Day day;
    private final Application application;
    private Simulation.Event end;
    private AppConnection connection;
    private String sidecar;
    private long askedAt;
    private boolean over;

    /**
     * @param serial unlike that of any other try of the day
     */
    PendingAttempt(Day day, Application application, RequestIntent wish, long serial) {
        this.day = day;
        this.application = application;
        this.wish = wish;
        this.id = hex(spread(serial * 2));
        this.cookieKey = spread(serial * 2 + 1);
        this.number = wish.tries++;
        long left = wish.endsAt == 0 ? wish.deadline : wish.endsAt - day.now();
        // Whole milliseconds, as X-Deadline says them.
        long wait = (long) (wish.share * wish.deadline);
        this.deadline = Math.max(Site.MS, Math.min(left, wait) / Site.MS * Site.MS);
        this.pauses = wish.slowWriter ? 1 + wish.chance.nextInt(MOST_PAUSES) : 0;
        this.pause = 1 + wish.chance.nextLong(LONGEST_PAUSE);
        this.patience =
                wish.impatient
                        ? (long) (deadline * wish.chance.nextDouble() * 0.5)
                        : deadline + LOOKS_LONGER + pauses * pause;
    }

    /** One to one, so that no two numbers become the same; never 0 but for 0. */
    private static long spread(long number) {
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

    long askedAt() {
        return askedAt;
    }

    /** When its answer is of no more use. */
    long until() {
        return askedAt + deadline;
    }

    /** Its first byte is about to be written. */
    void begins(AppConnection on) {
        connection = on;
        sidecar = on.seat().name();
        askedAt = day.now();
        if (wish.endsAt == 0) {
            wish.endsAt = askedAt + wish.deadline;
        }
        Message message =
                Message.of(wish.method(), wish.uri, wish.key, wish.body, wish.body.length);
        day.sentRequests.add(
                id, new SentRequestRegistry.Form(wish.requestClass, message, wish.work));
        day.evidence.requestStarted(
                new ClientAttempt(
                        id,
                        wish.origin,
                        number,
                        sidecar,
                        wish.requestClass,
                        wish.tenant,
                        wish.key,
                        cookieKey,
                        askedAt,
                        deadline,
                        patience));
        day.evidence.requestMessage(id, message);
        if (wish.slowReader) {
            day.evidence.clientLinkTroubled(sidecar, id, askedAt, askedAt + patience);
        }
        end = day.after(patience, this::giveUp);
    }

    void written() {
        if (!over) {
            day.evidence.requestSent(id);
        }
    }

    /** The client leaves: whatever it waits for on that connection is given up with it. */
    void giveUp() {
        if (!over) {
            connection.leave();
        }
    }

    void gaveUp() {
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
     * @param crossed whether the connection was closed with not a byte of this one read
     */
    void broken(String how, boolean begun, boolean crossed) {
        if (finish()) {
            day.evidence.answerBroken(id, crossed ? "crossed" : how, begun);
            application.ended(this, crossed ? Outcome.CROSSED : Outcome.FAILED, -1);
        }
    }

    /** It never came to be asked. */
    void unsent() {
        if (!over) {
            over = true;
            application.ended(this, Outcome.UNSENT, -1);
        }
    }

    private boolean finish() {
        if (over) {
            return false;
        }
        over = true;
        end.cancel();
        return true;
    }

    /** How it is written. */
    Script script() {
        String text = text();
        Script script = new Script();
        int from = 0;
        for (int i = 0; i < pauses; i++) {
            int to = from + wish.chance.nextInt(text.length() - from);
            script.then(i == 0 ? 0 : pause, text.substring(from, to));
            from = to;
        }
        return script.then(pauses == 0 ? 0 : pause, text.substring(from));
    }

    /** As it goes over the wire. */
    private String text() {
        StringBuilder text = new StringBuilder(LONG_TEXT + wish.body.length);
        text.append(wish.method())
                .append(' ')
                .append(wish.uri)
                .append(" HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: ")
                .append(id)
                .append("\r\nX-Class: ")
                .append(wish.kind.name())
                .append("\r\nX-Tenant: ")
                .append(Tenants.ALL.get(wish.tenant).name())
                .append("\r\nCookie: user=")
                .append(hex(cookieKey))
                .append("\r\nX-Deadline: ")
                .append(Unit.TIME.text(deadline))
                .append("\r\n");
        if (number > 0) {
            text.append("X-Retry: 1\r\n");
        }
        if (wish.key != null) {
            text.append("Idempotency-Key: ").append(wish.key).append("\r\n");
        }
        if (!wish.method().equals("GET")) {
            text.append("Content-Length: ").append(wish.body.length).append("\r\n");
        }
        text.append("\r\n");
        return text.append(new String(wish.body, StandardCharsets.ISO_8859_1)).toString();
    }
}
