package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * A request comes to a server as its client wrote it: method, path, query, body, X-Request-Id and
 * Idempotency-Key. Its X-Deadline is at most what the client said, no more than what was left of
 * that when it was sent, and above nothing; only in a request's last moments it may be written as
 * 0, for it is told in whole milliseconds, and the sidecar keeps some of the time to itself. The
 * module is told its class, its tenant and whether it is a client's repeat.
 */
final class RequestRule implements DayListener {
    /** Ids that begin so are those of bad clients, which are judged by other rules. */
    private static final String BAD_CLIENT_PREFIX = "bad-";

    private final InvariantBounds bounds;
    private final RuleContext context;
    private final AnswerDeadlines deadlines;
    private final Map<String, Message> messages = new HashMap<>();
    private final Map<Long, ClientAttempt> byKey = new HashMap<>();

    RequestRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
        this.deadlines = new AnswerDeadlines(bounds, context);
    }

    @Override
    public void requestStarted(ClientAttempt attempt) {
        byKey.put(attempt.cookieKey(), attempt);
    }

    @Override
    public void moduleRequest(
            String sidecar, long key, int requestClass, int tenant, boolean clientRetry) {
        ClientAttempt attempt = byKey.get(key);
        if (attempt != null
                && (attempt.requestClass() != requestClass
                        || attempt.tenant() != tenant
                        || attempt.number() > 0 != clientRetry)) {
            add(
                    attempt.id(),
                    sidecar
                            + "'s module was told class "
                            + requestClass
                            + ", tenant "
                            + tenant
                            + ", repeat "
                            + clientRetry
                            + " instead of class "
                            + attempt.requestClass()
                            + ", tenant "
                            + attempt.tenant()
                            + ", repeat "
                            + (attempt.number() > 0));
        }
    }

    @Override
    public void requestMessage(String id, Message message) {
        messages.put(id, message);
    }

    @Override
    public void serverReadMessage(
            String server,
            String sidecar,
            String id,
            Message message,
            long deadlineNanos,
            long firstByteSentAt) {
        if (id.startsWith(BAD_CLIENT_PREFIX)) {
            return;
        }
        Message own = messages.get(id);
        if (own == null) {
            add(
                    id.isEmpty() ? server : id,
                    sidecar
                            + " sent "
                            + server
                            + (id.isEmpty()
                                    ? " a request" + " without an id"
                                    : " an id that no client has used"));
            return;
        }
        String differences = own.differences(message);
        if (!differences.isEmpty()) {
            add(id, server + " has read " + differences);
        }
        AttemptRecord request = context.requests().find(id);
        if (request != null && request.takenAt != AttemptRecord.NEVER) {
            compare(request, server, deadlineNanos, firstByteSentAt);
        }
    }

    private void compare(AttemptRecord request, String server, long deadline, long sentAt) {
        long requested = request.attempt.deadlineNanos();
        long left = deadlines.forClient(request) - sentAt;
        boolean lastMoments = request.takenAt + requested - sentAt <= bounds.answerSlack();
        if (deadline > Math.min(requested, left) || deadline < 0 || deadline == 0 && !lastMoments) {
            add(
                    request.id(),
                    server
                            + " was told a deadline of "
                            + TimeSpans.text(deadline)
                            + " when "
                            + TimeSpans.text(left)
                            + " of "
                            + TimeSpans.text(requested)
                            + " were left");
        }
    }

    private void add(String subject, String what) {
        context.findings().add(Rule.WRONG_REQUEST, subject, what);
    }
}
