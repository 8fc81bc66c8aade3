package appleridge.testbed.invariants;

/**
 * An answer comes by the deadline, and the slack that the rules give, or the request counts as
 * late: also where none comes at all, or the connection is ended once its time is up. Only a pause
 * or trouble of the client's link puts it off, by as long as it lasts; a client that leaves before
 * has no say. Behind an open request on the same connection the answer may come as late as that
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
     * Danger: what is unread now will be read, and its client may leave before the time of what is
     * not.
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
        if (TimeSpans.saturatedAdd(deadlines.forAnswer(request), bounds.linkDelay())
                > context.checks().now()) {
            scheduleCheck(request, deadlines.forAnswer(request));
            return;
        }
        context.findings()
                .add(
                        Rule.LATE,
                        request.id(),
                        "no answer "
                                + TimeSpans.text(context.checks().now() - takenAt)
                                + " after it was taken, with a deadline of "
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
                                    + " after it was taken, with a deadline of "
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
                && !(begun && request.serverBodies.isEmpty())
                && !context.incarnations().isKilled(attempt.sidecar(), request.incarnation)) {
            context.findings()
                    .add(Rule.LATE, id, "its connection ended (" + how + ") when its time was up");
        }
    }
}
