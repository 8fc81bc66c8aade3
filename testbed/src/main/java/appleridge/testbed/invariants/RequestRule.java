package appleridge.testbed.invariants;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a request reaches a server as its client wrote it: method, path, query, body,
 * X-Request-Id and Idempotency-Key.
 *
 * <p>Its X-Deadline is positive, at most the client's, and no more than what was left of that when
 * the request was sent. Only in a request's last moments it may be 0, because it is given in whole
 * milliseconds and the sidecar reserves some of the time. The module is given the request's class,
 * its tenant and whether it is a client's retry.
 */
final class RequestRule implements DayListener {
    /** Prefix of bad clients' ids, which other rules check. */
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
                            + "'s module was given class "
                            + requestClass
                            + ", tenant "
                            + tenant
                            + ", retry "
                            + clientRetry
                            + " instead of class "
                            + attempt.requestClass()
                            + ", tenant "
                            + attempt.tenant()
                            + ", retry "
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
                                    ? " a request without an id"
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
                            + " received a deadline of "
                            + TimeSpans.text(deadline)
                            + " with "
                            + TimeSpans.text(left)
                            + " of "
                            + TimeSpans.text(requested)
                            + " left");
        }
    }

    private void add(String subject, String what) {
        context.findings().add(Rule.WRONG_REQUEST, subject, what);
    }
}
