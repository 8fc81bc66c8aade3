package appleridge.testbed.invariants;

/**
 * An answer comes by the deadline, and the slack that the rules give, or the request counts as
 * late: also where none comes at all, or the connection is ended once its time is up. Only a pause
 * or trouble of the client's link puts it off, by as long as it lasts; a client that leaves before
 * has no say. Behind an open request on the same connection the answer may come as late as that
 * one's.
 */
final class LateRule implements DayListener {
    private final InvariantBounds figures;
    private final Shared shared;
    private final AnswerDeadlines dues;

    LateRule(InvariantBounds figures, Shared shared) {
        this.figures = figures;
        this.shared = shared;
        this.dues = new AnswerDeadlines(figures, shared);
    }

    @Override
    public void requestSent(String id) {
        AttemptRecord request = shared.requests().find(id);
        if (request != null && request.isOpen()) {
            look(request, dues.onceRead(request));
        }
    }

    /**
     * Danger: what is unread now will be read, and its client may leave before the time of what is
     * not.
     */
    private void look(AttemptRecord request, long due) {
        long taken = request.takenAt;
        shared.alarms().at(TimeSpans.plus(due, figures.link()), () -> overdue(request, taken));
    }

    private void overdue(AttemptRecord request, long taken) {
        if (!request.isOpen()
                || request.takenAt != taken
                || !shared.lives().runs(request.asking.sidecar(), request.life)) {
            return;
        }
        if (TimeSpans.plus(dues.answer(request), figures.link()) > shared.alarms().now()) {
            look(request, dues.answer(request));
            return;
        }
        shared.findings()
                .add(
                        Rule.LATE,
                        request.id(),
                        "no answer "
                                + TimeSpans.text(shared.alarms().now() - taken)
                                + " after it was taken, with a deadline of "
                                + TimeSpans.text(request.asking.deadlineNanos()));
    }

    @Override
    public void answered(
            String id, int status, String body, long retryAfterNanos, long lastByteSentAt) {
        AttemptRecord request = shared.requests().find(id);
        if (request != null && request.isOpen() && lastByteSentAt > dues.answer(request)) {
            shared.findings()
                    .add(
                            Rule.LATE,
                            id,
                            "answered "
                                    + TimeSpans.text(lastByteSentAt - request.takenAt)
                                    + " after it was taken, with a deadline of "
                                    + TimeSpans.text(request.asking.deadlineNanos()));
        }
    }

    @Override
    public void answerBroken(String id, String how, boolean begun) {
        AttemptRecord request = shared.requests().find(id);
        if (request == null || !request.isOpen()) {
            return;
        }
        long now = shared.alarms().now();
        ClientAttempt asking = request.asking;
        if (now
                        > shared.excuses()
                                .extended(
                                        asking,
                                        request.takenAt,
                                        request.takenAt + asking.deadlineNanos())
                && !shared.crossed(request)
                && !shared.excuses().linkTroubled(asking, request.takenAt, now)
                && !(begun && request.made.isEmpty())
                && !shared.lives().isKilled(asking.sidecar(), request.life)) {
            shared.findings()
                    .add(Rule.LATE, id, "its connection ended (" + how + ") when its time was up");
        }
    }
}
