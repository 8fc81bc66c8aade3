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
    private static final String BAD = "bad-";

    private final InvariantBounds figures;
    private final Shared shared;
    private final AnswerDeadlines dues;
    private final Map<String, Message> written = new HashMap<>();
    private final Map<Long, ClientAttempt> byKey = new HashMap<>();

    RequestRule(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
        this.dues = new AnswerDeadlines(figures, shared);
    }

    @Override
    public void requestStarted(ClientAttempt asking) {
        byKey.put(asking.cookieKey(), asking);
    }

    @Override
    public void moduleRequest(
            String sidecar, long key, int requestClass, int tenant, boolean clientRetry) {
        ClientAttempt asking = byKey.get(key);
        if (asking != null
                && (asking.requestClass() != requestClass
                        || asking.tenant() != tenant
                        || asking.number() > 0 != clientRetry)) {
            add(
                    asking.id(),
                    sidecar
                            + "'s module was told class "
                            + requestClass
                            + ", tenant "
                            + tenant
                            + ", repeat "
                            + clientRetry
                            + " instead of class "
                            + asking.requestClass()
                            + ", tenant "
                            + asking.tenant()
                            + ", repeat "
                            + (asking.number() > 0));
        }
    }

    @Override
    public void requestMessage(String id, Message message) {
        written.put(id, message);
    }

    @Override
    public void serverReadMessage(
            String server,
            String sidecar,
            String id,
            Message message,
            long deadlineNanos,
            long firstByteSentAt) {
        if (id.startsWith(BAD)) {
            return;
        }
        Message own = written.get(id);
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
        String unlike = own.unlike(message);
        if (!unlike.isEmpty()) {
            add(id, server + " has read " + unlike);
        }
        AttemptRecord request = shared.requests().find(id);
        if (request != null && request.takenAt != AttemptRecord.NEVER) {
            compare(request, server, deadlineNanos, firstByteSentAt);
        }
    }

    private void compare(AttemptRecord request, String server, long deadline, long sentAt) {
        long said = request.asking.deadlineNanos();
        long left = dues.patience(request) - sentAt;
        boolean lastMoments = request.takenAt + said - sentAt <= figures.answerSlack();
        if (deadline > Math.min(said, left) || deadline < 0 || deadline == 0 && !lastMoments) {
            add(
                    request.id(),
                    server
                            + " was told a deadline of "
                            + TimeSpans.text(deadline)
                            + " when "
                            + TimeSpans.text(left)
                            + " of "
                            + TimeSpans.text(said)
                            + " were left");
        }
    }

    private void add(String subject, String what) {
        shared.findings().add(Rule.WRONG_REQUEST, subject, what);
    }
}
