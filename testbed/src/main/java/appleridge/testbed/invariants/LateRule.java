package appleridge.testbed.invariants;

/**
 * Checks that an answer comes by the deadline plus the allowed slack. A request without an answer,
 * or whose connection ends after its deadline, is late too. A pause of the sidecar, overload of its
 * loop or trouble of the client's link extends the limit; a client that leaves earlier is owed
 * nothing. Behind an open request on the same connection, the answer may come as late as that
 * one's.
 */
final class LateRule implements DayListener {
    private final InvariantBounds bounds;
    private final RuleContext context;
    private final AnswerDeadlines deadlines;

    LateRule(InvariantBounds bounds, RuleContext context) {
        this.bounds = bounds;
        this.context = context;
        this.deadlines = new AnswerDeadlines(bounds, context);
    }

    @Override
    public void requestSent(String id) {
        AttemptRecord request = context.requests().find(id);
        if (request != null && request.isOpen()) {
            scheduleCheck(request, deadlines.forAnswerIfReadAtOnce(request));
        }
    }

    /**
     * Schedules a check. The first one assumes that the request is read at once: an unread request
     * may be read later, and its client may leave before the longer limit for unread requests.
     */
    private void scheduleCheck(AttemptRecord request, long deadline) {
        long takenAt = request.takenAt;
        context.checks()
                .at(
                        TimeSpans.saturatedAdd(deadline, bounds.linkDelay()),
                        () -> checkOverdue(request, takenAt));
    }

    private void checkOverdue(AttemptRecord request, long takenAt) {
        if (!request.isOpen()
                || request.takenAt != takenAt
                || !context.incarnations().runs(request.attempt.sidecar(), request.incarnation)) {
            return;
        }
        if (TimeSpans.saturatedAdd(deadlines.forEnd(request), bounds.linkDelay())
                > context.checks().now()) {
            scheduleCheck(request, deadlines.forEnd(request));
            return;
        }
        context.findings()
                .add(
                        Rule.LATE,
                        request.id(),
                        "no answer "
                                + TimeSpans.text(context.checks().now() - takenAt)
                                + " after it was accepted, with a deadline of "
                                + TimeSpans.text(request.attempt.deadlineNanos()));
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = context.requests().find(id);
        if (request != null && request.isOpen() && lastByteSentAt > deadlines.forAnswer(request)) {
            context.findings()
                    .add(
                            Rule.LATE,
                            id,
                            "answered "
                                    + TimeSpans.text(lastByteSentAt - request.takenAt)
                                    + " after it was accepted, with a deadline of "
                                    + TimeSpans.text(request.attempt.deadlineNanos()));
        }
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        AttemptRecord request = context.requests().find(id);
        if (request == null || !request.isOpen()) {
            return;
        }
        long now = context.checks().now();
        ClientAttempt attempt = request.attempt;
        if (now
                        > context.excuses()
                                .extended(
                                        attempt,
                                        request.takenAt,
                                        request.takenAt + attempt.deadlineNanos())
                && !context.crossed(request)
                && !context.excuses().linkTroubled(attempt, request.takenAt, now)
                && !(begun && (request.serverBodies.isEmpty() || now <= endOfBegun(request)))
                && !context.incarnations().isKilled(attempt.sidecar(), request.incarnation)) {
            context.findings()
                    .add(Rule.LATE, id, "its connection ended (" + how + ") after its deadline");
        }
    }

    /** Until when the answer may break off that began in time, because its server stopped. */
    private long endOfBegun(AttemptRecord request) {
        return TimeSpans.saturatedAdd(deadlines.forEnd(request), bounds.linkDelay());
    }
}
